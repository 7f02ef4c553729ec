#include "net/TcpStream.h"

#include <glib.h>

#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <string>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickorylift {

namespace {

/// Reads what has arrived, without waiting. Returns how many bytes that was.
size_t readAll(int Fd) {
  char Buffer[64 * 1024];
  size_t Total = 0;
  ssize_t Size = 0;
  while ((Size = recv(Fd, Buffer, sizeof(Buffer), MSG_DONTWAIT)) > 0)
    Total += static_cast<size_t>(Size);
  return Total;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TcpStreams)

// Guards against a busy connection whose memory grows with every byte sent,
// because its buffer is never empty.
BOOST_AUTO_TEST_CASE(SentBytesAreForgottenWhileMoreIsWritten) {
  constexpr size_t Backlog = 4 * 1024 * 1024;
  constexpr size_t Total = 64 * 1024 * 1024;
  int Ends[2];
  BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, Ends) == 0);
  fcntl(Ends[0], F_SETFL, O_NONBLOCK);
  std::shared_ptr<TcpStream> Stream =
      TcpStream::adopt(Ends[0], TcpStream::Hooks(), [] { return TimePoint(); });
  size_t Received = 0;
  while (Received < Total) {
    if (Stream->pending() < Backlog)
      Stream->write(std::string(Backlog - Stream->pending(), 'x'));
    Stream->flush();
    BOOST_REQUIRE(Stream->pending() > 0u);
    Received += readAll(Ends[1]);
  }
  BOOST_TEST(Stream->reserved() <= 4 * Backlog);
  // Guards against idle connections that keep what their longest answer took.
  while (Stream->pending() > 0) {
    readAll(Ends[1]);
    Stream->flush();
  }
  BOOST_TEST(Stream->reserved() <= 16u * 1024);
  Stream->close();
  ::close(Ends[1]);
}

// Guards against an answer without a length that is taken for whole although
// its connection was reset: a look at the socket takes the pending error with
// it, and the next read sees an orderly end.
BOOST_AUTO_TEST_CASE(ResetSeenByALookIsStillAReset) {
  int Listening = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(At);
  BOOST_REQUIRE(bind(Listening, reinterpret_cast<sockaddr *>(&At), Size) == 0);
  BOOST_REQUIRE(listen(Listening, 1) == 0);
  getsockname(Listening, reinterpret_cast<sockaddr *>(&At), &Size);
  std::string Received;
  std::optional<std::error_code> End;
  TcpStream::Hooks Hooks;
  Hooks.Data = [&](std::string_view Bytes, TimePoint) { Received += Bytes; };
  Hooks.Ended = [&](std::error_code Why, TimePoint) { End = Why; };
  std::shared_ptr<TcpStream> Stream = TcpStream::dial(
      {"127.0.0.1", ntohs(At.sin_port)}, Hooks, [] { return TimePoint(); });
  int Peer = accept(Listening, nullptr, nullptr);
  auto TurnUntil = [](const std::function<bool()> &Holds) {
    for (int I = 0; I < 5000 && !Holds(); ++I)
      if (!g_main_context_iteration(nullptr, FALSE))
        usleep(200);
    return Holds();
  };
  BOOST_REQUIRE(send(Peer, "abc", 3, 0) == 3);
  BOOST_REQUIRE(TurnUntil([&] { return Received == "abc"; }));
  linger Hard{1, 0};
  setsockopt(Peer, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
  ::close(Peer);
  while (!Stream->hasUnread())
    usleep(200);
  BOOST_TEST(Stream->peerEnded());
  BOOST_REQUIRE(TurnUntil([&] { return End.has_value(); }));
  BOOST_TEST((*End == std::errc::connection_reset));
  ::close(Listening);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
