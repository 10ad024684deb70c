#include "crowd/forms.h"

#include <algorithm>

namespace tarragonbridge::crowd {

namespace {
constexpr std::size_t LegalBytes = 250'000; ///< of a body inside the limits
constexpr std::size_t ChunkBytes = 16U << 10U;
constexpr std::size_t HeaderBytes = 19'000;

std::string lengthHead(const std::string &Start, std::size_t Bytes) {
  return Start + "Content-Length: " + std::to_string(Bytes) + "\r\n\r\n";
}

std::string chunk(std::size_t Bytes) {
  return "4000\r\n" + std::string(Bytes, 'x') + "\r\n";
}

std::string repeat(std::string_view Text, std::size_t Count) {
  std::string Repeated;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Repeated += Text;
  }
  return Repeated;
}

std::string wholeRequest(const std::string &Start, const std::string &Body) {
  return lengthHead(Start, Body.size()) + Body;
}

/// A job of a thousand tasks, with as much text as a job may have.
std::string largeJob() {
  return R"({"specification":")" + std::string(4'000, 's') +
         R"(","bestEffort":true,"steps":[{"count":1000,"cpu":1,"memMb":1,)"
         R"("estimatedMs":10}]})";
}

/// A form of one whole request.
form requestOf(std::string Name, const std::string &Start,
               const std::string &Body) {
  return {std::move(Name), lengthHead(Start, Body.size()), Body, 1, ""};
}

/// A small job in a body as large as it may be.
std::string paddedJob() {
  const std::string Job =
      R"({"specification":"","bestEffort":true,"steps":[{"count":1,"cpu":1,)"
      R"("memMb":1,"estimatedMs":10}]})";
  return Job + std::string(LegalBytes - Job.size(), ' ');
}

std::vector<form> makeForms(const std::string &Path, const std::string &Host) {
  const std::string Line = " HTTP/1.1\r\nHost: " + Host + "\r\n";
  const std::string Post = "POST " + Path + Line;
  const std::string Chunked = Post + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Body(LegalBytes, 'x');
  const std::size_t Chunks = LegalBytes / ChunkBytes;
  return {
      {"whole", lengthHead(Post, LegalBytes), "x", LegalBytes - 1, ""},
      {"pieces", lengthHead(Post, LegalBytes), "x", LegalBytes - 1, "", 4'000},
      {"large_chunks", Chunked, chunk(ChunkBytes), Chunks, ""},
      {"small_chunks", Chunked, "1\r\nx\r\n", 60'000, ""},
      {"announced", lengthHead(Post, 50'000'000), "x", 600'000, ""},
      {"unannounced", Chunked, chunk(ChunkBytes), 150, ""},
      {"trailers", Chunked, chunk(ChunkBytes), Chunks, "0\r\nTrailer: x"},
      {"headers", Post + "X-Long: ", "x", HeaderBytes, ""},
      {"many_headers", Post, "X: y\r\n", HeaderBytes / 6, ""},
      {"target", "POST /", "x", HeaderBytes, ""},
      {"silent", "", "", 0, ""},
      {"pipelined", "", wholeRequest(Post, Body), 4,
       lengthHead(Post, LegalBytes) + "x"},
      {"unread", "", "GET /metrics" + Line + "\r\n", 4'000, ""},
      {"small", lengthHead(Post, 8'000), "x", 7'999, ""},
      {"expected", lengthHead(Post + "Expect: 100-continue\r\n", LegalBytes),
       "", 0, ""},
      {"second", "GET " + Path + Line + "\r\n" + lengthHead(Post, LegalBytes),
       "x", LegalBytes - 1, ""},
      requestOf("wide_json", Post, "[" + repeat("[],", LegalBytes / 3) + "[]]"),
      requestOf("many_steps", Post,
                R"({"specification":"","bestEffort":true,"steps":[)" +
                    repeat(R"({"count":1},)", 20'000) + R"({"count":1}]})"),
      requestOf("large_jobs", Post, largeJob()),
      requestOf("padded_jobs", Post, paddedJob()),
      {"drip", lengthHead(Post, LegalBytes), "x", LegalBytes - 1, "", 1U << 16U,
       LegalBytes / 2},
  };
}
} // namespace

std::size_t form::size() const {
  return Head.size() + Unit.size() * Units + Tail.size();
}

std::string form::headOf(std::size_t Connection) const {
  const std::string Placeholder(16, '0');
  std::string OwnHead = Head;
  const std::size_t At = OwnHead.find(Placeholder);
  if (At != std::string::npos) {
    const std::string Number = std::to_string(Connection + 1);
    OwnHead.replace(At + Placeholder.size() - Number.size(), Number.size(),
                    Number);
  }
  return OwnHead;
}

std::string form::piece(std::size_t Offset, const std::string &OwnHead) const {
  const std::size_t End = std::min(Offset + PieceBytes, size());
  const std::size_t UnitsEnd = OwnHead.size() + Unit.size() * Units;
  std::string Bytes;
  while (Offset + Bytes.size() < End) {
    const std::size_t At = Offset + Bytes.size();
    if (At < OwnHead.size()) {
      Bytes += OwnHead.substr(At);
    } else if (At < UnitsEnd) {
      Bytes += Unit.substr((At - OwnHead.size()) % Unit.size());
    } else {
      Bytes += Tail.substr(At - UnitsEnd);
    }
  }
  Bytes.resize(End - Offset);
  return Bytes;
}

std::optional<form> findForm(std::string_view Name, const std::string &Path,
                             const std::string &Host) {
  for (form &Form : makeForms(Path, Host)) {
    if (Form.Name == Name) {
      return std::move(Form);
    }
  }
  return std::nullopt;
}

} // namespace tarragonbridge::crowd
