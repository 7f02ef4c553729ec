#include "net/TcpStream.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
