// Fuzz target: decodes arbitrary bytes as the reply to each question of a lookup, turns the result
// into claims, and encodes and decodes the message again. The bounds of src/dns/lookup.hpp must
// hold for any input.
#include <cstdlib>

#include "../src/dns/query_schedule.hpp"
#include "../src/membership/claims.hpp"

using namespace deckcart;

namespace {
void require(bool condition) {
    if (!condition)
        std::abort();
}
}  // namespace

// libFuzzer requires this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *bytes, std::size_t size) {
    const auto decoded = dns::decode(bytes, size);
    require(decoded.message.has_value() == decoded.fault.empty());
    if (!decoded.message)
        return 0;
    const auto &message = *decoded.message;
    const auto encoded = dns::encode(message);
    const auto decodedAgain = dns::decode(encoded.data(), encoded.size());
    require(decodedAgain.message && decodedAgain.message->answers == message.answers &&
            decodedAgain.message->additional == message.additional);

    dns::QueryAttempts attempts({0, 1}, 1);
    for (int attempt = 0; attempts.next(); ++attempt) {
        require(attempt < 9);
        if (attempts.onReply(message) == dns::QueryAttempts::ReplyUse::answer)
            break;
        if (attempt % 2)
            attempts.onFailure("none");
    }
    const dns::LookupBounds bounds{.targets = 8, .aliases = 4, .addresses = 2};
    dns::Lookup lookup(message.question ? message.question->name : "_relay._tcp.example.org.", {},
                       bounds);
    std::size_t questionCount = 0;
    for (auto questions = lookup.takeQuestions(); !questions.empty();
         questions = lookup.takeQuestions())
        for (const auto &question : questions) {
            require(++questionCount <= bounds.aliases + 1 + 2 * bounds.targets);
            lookup.onReply(question, message);
        }
    require(lookup.finished());
    require(lookup.result().targets.size() <= bounds.targets);
    const auto reading =
        membership::makeReading({"n.", 1, 0, 0}, lookup.result(), Duration{1}, Duration{1}, "ns");
    require(reading.claims.size() <= bounds.targets * bounds.addresses);
    for (const auto &claim : reading.claims)
        require(claim.entry.weight >= 0.001 && claim.entry.weight <= 1);
    return 0;
}
