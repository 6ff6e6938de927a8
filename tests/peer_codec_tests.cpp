#include "adapters/peer_codec.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cuminscale;

namespace
{

const ProcessId Self{Endpoint{0x7f000001, 7001}, Incarnation(5)};
const SubmissionId Job{Self, Sequence(9)};

/// One of every message, with every field set.
std::vector<Message> allMessages()
{
    const std::shared_ptr<JobSpec> spec = std::make_shared<JobSpec>();
    spec->service = "s";
    spec->member = "m";
    spec->kind = "k";
    spec->repeatable = true;
    spec->digest = Digest{1, 2};
    spec->tasks = {TaskSpec{std::string("\0\xff", 2), milliseconds(3), 4}};
    const AgentSummary summary{Self, "s", "d", 8, 7, 6, Revision(5), true};
    const TraceContext trace{1, 2, 3, true};
    const Span span{trace, 4, "n", "p", TimePoint(Duration(5)), TimePoint(Duration(6)), "o"};
    const TaskResult result{TaskStatus::Succeeded, 200, "b", Duration(7)};
    return {
        msg::Heartbeat{summary, true, {Self}},
        msg::HeartbeatReply{{Self}, {summary}, Revision(3), Duration(9)},
        msg::ConfigPush{Revision(1), "c", "{}"},
        msg::Mint{3},
        msg::Minted{Sequence(4), 3},
        msg::Submit{Job, spec, milliseconds(9), trace, "no"},
        msg::Await{Job},
        msg::Cancel{Job, "m"},
        msg::JobReply{Job, JobState::Complete, "r", Duration(1), true, 1, 1, {result}, {span}, 3},
        msg::Offer{Job, "m", "k", 2},
        msg::Withdraw{Job},
        msg::Claim{ClaimId(1), Job, 2},
        msg::Grant{ClaimId(1), Job, {msg::GrantedTask{TaskIndex(3), "p"}}, 4, milliseconds(5), trace},
        msg::Results{{msg::ResultItem{Job, ClaimId(1), TaskIndex(2), result, {span}}}, 5},
        msg::ResultsAck{{TaskRef{Job, ClaimId(1), TaskIndex(2)}}},
        msg::Query{ClaimId(1), Job},
        msg::QueryReply{ClaimId(1), Job, {TaskIndex(2)}, true},
        msg::CancelClaim{ClaimId(1), Job},
        msg::Gone{Incarnation(8)},
        msg::Handoff{Self, Sequence(4), {msg::HandoffItem{msg::JobReply{Job, JobState::Refused, "r"}, Digest{1, 2}}}, 3, true},
        msg::HandoffAck{3, true},
    };
}

std::string encode(const Message &message)
{
    return encodeEnvelope(
        Envelope{Self, Incarnation(6), TimePoint(Duration(77)), Echo{TimePoint(Duration(78)), Duration(79)}, message});
}

} // namespace

TEST_CASE("every message type round-trips through the codec")
{
    const std::vector<Message> messages = allMessages();
    REQUIRE(messages.size() == std::variant_size_v<Message>);
    for (const Message &message : messages) {
        const std::optional<Envelope> decoded = decodeEnvelope(encode(message));
        INFO(message.index());
        REQUIRE(decoded);
        REQUIRE(decoded->from == Self);
        REQUIRE(decoded->to == Incarnation(6));
        REQUIRE(decoded->sentAt == TimePoint(Duration(77)));
        REQUIRE(decoded->echo->peerSentAt == TimePoint(Duration(78)));
        REQUIRE(decoded->echo->held == Duration(79));
        REQUIRE(decoded->message.index() == message.index());
        // Equal messages have equal encodings, so a difference shows that a field was lost or changed.
        REQUIRE(encode(decoded->message) == encode(message));
    }
}

TEST_CASE("truncated and mutated messages are rejected or decode with a valid sender")
{
    std::mt19937_64 random(7);
    for (const Message &message : allMessages()) {
        const std::string bytes = encode(message);
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            decodeEnvelope(std::string_view(bytes).substr(0, n));
        }
        for (int i = 0; i < 200; ++i) {
            std::string mutated = bytes;
            mutated[random() % mutated.size()] = static_cast<char>(random());
            const std::optional<Envelope> decoded = decodeEnvelope(mutated);
            if (decoded) {
                REQUIRE(decoded->from.incarnation != Incarnation());
            }
        }
    }
    REQUIRE_FALSE(decodeEnvelope(""));
    REQUIRE_FALSE(decodeEnvelope("nonsense"));
}

TEST_CASE("unsupported versions, empty jobs and incomplete replies are rejected")
{
    Message empty = msg::Submit{Job, std::make_shared<JobSpec>(), milliseconds(1), {}, ""};
    REQUIRE_FALSE(decodeEnvelope(encode(empty)));
    const Message incomplete = msg::JobReply{Job, JobState::Complete, "", Duration(0), false, 2, 2, {TaskResult()}, {}, 0};
    REQUIRE_FALSE(decodeEnvelope(encode(incomplete)));
    std::string bytes = encode(msg::Mint{1});
    REQUIRE(bytes[0] == 8);
    bytes[1] = static_cast<char>(WireVersion + 1);
    REQUIRE_FALSE(decodeEnvelope(bytes));
}
