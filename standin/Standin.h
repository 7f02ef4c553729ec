#ifndef HICKORYLIFT_STANDIN_STANDIN_H
#define HICKORYLIFT_STANDIN_STANDIN_H

// The stand-ins take the place of what we do not ship: the platform, an
// upstream, a caller and a faulty wire. Each runs until it is ended.
//
//   standin platform --listen=127.0.0.1:6000
//   standin upstream --listen=127.0.0.1:8101 --slots=10
//   standin publish --platform=127.0.0.1:6000 --version=1 --records=FILE
//   standin load --target=127.0.0.1:8001 --rate=50 --seconds=10
//   standin wire --listen=127.0.0.1:5000 --to=127.0.0.1:7001

namespace hickorylift::standin {

int runPlatform();
int runUpstream();
int runPublish();
int runList();
int runLoad();
int runWire();

} // namespace hickorylift::standin

#endif
