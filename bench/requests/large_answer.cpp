#include <bench/requests/large_answer.hpp>

#include <harness/json_http.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <fstream>
#include <string>

namespace medlarmoor::bench {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t ChunkBytes = 256U * 1024U;

std::string requestText(const std::string &Key) {
  return "POST /v1/services/booking-portal/requests HTTP/1.1\r\n"
         "Host: entry\r\nMedlarmoor-Class: idempotent\r\n"
         "Medlarmoor-Deadline-Ms: 20000\r\nIdempotency-Key: " +
         Key + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}";
}

std::uint64_t lengthIn(const std::string &Head) {
  const std::size_t At = Head.find("Content-Length: ");
  return At == std::string::npos ? 0 : std::stoull(Head.substr(At + 16));
}

} // namespace

Download download(Endpoint From, const std::string &Key) {
  Download Out;
  asio::io_context Io;
  Tcp::socket Socket(Io);
  boost::system::error_code Failed;
  Socket.connect({asio::ip::address_v4(From.address().value()), From.port()},
                 Failed);
  const auto Began = std::chrono::steady_clock::now();
  asio::write(Socket, asio::buffer(requestText(Key)), Failed);
  std::string Head;
  std::string Chunk(ChunkBytes, '\0');
  while (!Failed) {
    const std::size_t Got = Socket.read_some(asio::buffer(Chunk), Failed);
    if (Out.Promised_ > 0) {
      Out.Bytes_ += Got;
      continue;
    }
    Head.append(Chunk, 0, Got);
    const std::size_t End = Head.find("\r\n\r\n");
    if (End == std::string::npos)
      continue;
    Out.Promised_ = lengthIn(Head.substr(0, End));
    Out.Bytes_ = Head.size() - End - 4;
  }
  Out.Seconds_ =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Began)
          .count();
  return Out;
}

std::uint64_t peakMemoryKiB(pid_t Of) {
  std::ifstream Status("/proc/" + std::to_string(Of) + "/status");
  std::string Line;
  while (std::getline(Status, Line))
    if (Line.starts_with("VmHWM:"))
      return std::stoull(Line.substr(6));
  return 0;
}

} // namespace medlarmoor::bench
