#include "crowd/forms.h"

#include "base/clock.h"

#include <algorithm>

namespace tarragonbridge::crowd {

namespace {
constexpr std::size_t LegalBytes = 250'000; ///< of a body inside the limits
constexpr std::size_t ChunkBytes = 16U << 10U;
constexpr std::size_t HeaderBytes = 19'000;
constexpr std::size_t ExtensionBytes = 4'000; ///< of a chunk's head
constexpr std::size_t KeptTextBytes = 60'000; ///< of a job's payload
constexpr std::string_view Placeholder = "0000000000000000";

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

/// A job that the daemon keeps after its response.
///
/// @param[in] TextBytes of the payload
std::string keptJob(std::size_t TextBytes) {
  return R"({"team":"agents","submitted_at_ms":)" +
         std::to_string(wallNow().time_since_epoch().count()) +
         R"(,"time_limit_ms":600000,"tasks":[{"payload":{"run_ms":2000,)" +
         R"("text":")" + std::string(TextBytes, 't') + R"("}}]})";
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

/// @returns a text whose placeholder is replaced by a number
std::string numbered(std::string Text, std::size_t Number) {
  const std::size_t At = Text.find(Placeholder);
  if (At != std::string::npos) {
    const std::string Digits = std::to_string(Number);
    Text.replace(At + Placeholder.size() - Digits.size(), Digits.size(),
                 Digits);
  }
  return Text;
}

/// A job as large as jobs may be, in a body of a given size: its end is padded.
std::string largestJob(std::size_t BodyBytes) {
  std::string Job = R"({"specification":")" + std::string(4'000, 's') +
                    R"(","bestEffort":true,"steps":[{"count":1000,"cpu":1,)"
                    R"("memMb":1,"estimatedMs":5000}]})";
  Job.resize(BodyBytes, ' ');
  return Job;
}

/// @returns a body in chunks of one byte
std::string chunksOfOne(std::string_view Body) {
  std::string Chunks;
  for (const char Byte : Body) {
    Chunks += std::string("1\r\n") + Byte + "\r\n";
  }
  return Chunks + "0\r\n\r\n";
}

/// A job of a thousand tasks for the daemon, in a body of about a given size.
std::string largestKeptJob(std::size_t BodyBytes) {
  constexpr std::size_t Tasks = 1'000;
  constexpr std::size_t Overhead = 40; ///< of a task, beside its text
  const std::size_t TextBytes = BodyBytes / Tasks - Overhead;
  const std::string Task = R"({"payload":{"run_ms":1,"text":")" +
                           std::string(TextBytes, 't') + R"("}})";
  return R"({"team":"agents","submitted_at_ms":)" +
         std::to_string(wallNow().time_since_epoch().count()) +
         R"(,"time_limit_ms":600000,"tasks":[)" +
         repeat(Task + ",", Tasks - 1) + Task + "]}";
}

/// Single requests inside the limits, which have to be served.
std::vector<form> makeLegalForms(const std::string &Post,
                                 const std::string &Chunked, bool IsDaemon) {
  constexpr std::size_t MaxPoolBytes = 256U << 10U;
  constexpr std::size_t MaxDaemonBytes = 8'300'000;
  constexpr std::size_t SlowPieces = 64;
  constexpr milliseconds SlowPause{300};
  const std::string Job =
      IsDaemon ? largestKeptJob(MaxDaemonBytes) : largestJob(MaxPoolBytes);
  form Slow = requestOf("legal_slow", Post, Job);
  Slow.PieceBytes = Slow.size() / SlowPieces + 1;
  Slow.Pause = SlowPause;
  const std::string Chunks =
      chunksOfOne(IsDaemon ? largestKeptJob(MaxPoolBytes) : Job);
  return {requestOf("legal", Post, Job),
          Slow,
          {"legal_tiny_chunks", Chunked, Chunks, 1, ""}};
}

std::vector<form> makeForms(const request_target &Target) {
  const std::string &Path = Target.Path;
  const std::string Line =
      " HTTP/1.1\r\nHost: " + Target.Host + "\r\n" +
      (Target.Key.empty() ? "" : "Idempotency-Key: " + Target.Key + "\r\n");
  const std::string Post = "POST " + Path + Line;
  const std::string Chunked = Post + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Body(LegalBytes, 'x');
  const std::size_t Chunks = LegalBytes / ChunkBytes;
  const std::string Extension(ExtensionBytes, 'e');
  std::vector<form> Forms = {
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
      {"extensions", Chunked, "1;" + Extension + "\r\nx\r\n", 60, ""},
      {"long_extension", Chunked + "1;", "e", LegalBytes, ""},
      {"absurd_chunk", Chunked + "FFFFFFFFFFFFFFF0\r\n", "x", LegalBytes, ""},
      {"long_chunk_size", Chunked, "0", LegalBytes, ""},
      {"both", lengthHead(Post + "Transfer-Encoding: chunked\r\n", LegalBytes),
       chunk(ChunkBytes), Chunks, ""},
      {"two_lengths", lengthHead(Post + "Content-Length: 10\r\n", LegalBytes),
       "x", LegalBytes - 1, ""},
      {"absurd_length", Post + "Content-Length: 99999999999999999999\r\n\r\n",
       "x", LegalBytes, ""},
      {"drip_headers", Post + "X-Long: ", "x", HeaderBytes, "", 1U << 16U, 100},
      {"reconnect", lengthHead(Post, LegalBytes), "x", LegalBytes - 1, "",
       1U << 16U, 0, true},
      {"reconnect_at_once", Post, "", 0, "", 1U << 16U, 0, true},
      {"cancels", "", "DELETE " + Path + Line + "\r\n", 400, ""},
      {"queries", "", "GET " + Path + Line + "\r\n", 400, ""},
      {"waits", "GET " + Path + Line + "\r\n", "", 0, ""},
      {"kept_jobs", "",
       wholeRequest(Post + "Prefer: respond-async\r\n", keptJob(KeptTextBytes)),
       10, ""},
  };
  for (form &Legal : makeLegalForms(Post, Chunked, !Target.Key.empty())) {
    Forms.push_back(std::move(Legal));
  }
  return Forms;
}
} // namespace

std::size_t form::size() const {
  return Head.size() + Unit.size() * Units + Tail.size();
}

std::string form::unitOf(std::size_t Index, std::size_t Connection) const {
  return numbered(Unit, Connection * Units + Index + 1);
}

std::string form::piece(std::size_t Offset, std::size_t Connection) const {
  const std::size_t End = std::min(Offset + PieceBytes, size());
  const std::size_t UnitsEnd = Head.size() + Unit.size() * Units;
  std::string Bytes;
  while (Offset + Bytes.size() < End) {
    const std::size_t At = Offset + Bytes.size();
    if (At < Head.size()) {
      Bytes += numbered(Head, Connection + 1).substr(At);
    } else if (At < UnitsEnd) {
      const std::size_t InUnits = At - Head.size();
      Bytes += unitOf(InUnits / Unit.size(), Connection)
                   .substr(InUnits % Unit.size());
    } else {
      Bytes += Tail.substr(At - UnitsEnd);
    }
  }
  Bytes.resize(End - Offset);
  return Bytes;
}

std::optional<form> findForm(std::string_view Name,
                             const request_target &Target) {
  for (form &Form : makeForms(Target)) {
    if (Form.Name == Name) {
      return std::move(Form);
    }
  }
  return std::nullopt;
}

std::optional<form> findDatagrams(std::string_view Name) {
  constexpr std::size_t LongNameBytes = 60'000;
  const std::string Number(Placeholder);
  const auto From = [](const std::string &Host, const std::string &Domain) {
    return R"([[")" + Host + R"(",1],")" + Domain + R"(",0,1,0,0,[],[],1,0])" +
           "\n[false,1,0,0,[],[],true,[]]";
  };
  const std::vector<form> Forms = {
      {"strangers", "", From(Number, "east"), 100, ""},
      {"long_names", "", From(Number + std::string(LongNameBytes, 'n'), "east"),
       10, ""},
      {"long_domains", "", From(Number, std::string(LongNameBytes, 'd')), 10,
       ""},
      {"malformed", "", "[[" + Number + std::string(LongNameBytes, '['), 10,
       ""},
  };
  for (const form &Form : Forms) {
    if (Form.Name == Name) {
      return Form;
    }
  }
  return std::nullopt;
}

} // namespace tarragonbridge::crowd
