// Messages between dogwoodgap nodes: compact protocol, in frames with a 4-byte length prefix.
namespace py dogwoodgap_wire

enum MemberStatus { ALIVE = 1, SUSPECT = 2, LEAVING = 3, DEAD = 4 }

struct Member {
  1: string node,
  2: string boot,
  3: string data_centre,
  4: string http_address,
  5: string peer_address,
  6: i64 incarnation,
  7: MemberStatus status,
}

struct ServiceLoad {
  1: string service_name,
  2: i32 queued,
  3: i32 running,
}

// Requests of one node to a runner, and the runner's load report if the node polled it.
// The runner is named service/id; age_ms is negative when there is no report.
struct RunnerLoad {
  1: string runner,
  2: i32 in_flight,
  3: i64 sent_tokens,
  4: i64 sent_requests,
  5: i32 age_ms = -1,
  6: i32 queued,
  7: i32 running,
  8: i64 cached_tokens,
  9: bool leaving,
}

struct Hello {
  1: Member member,
  2: i32 protocol_version,
}

struct Ping {
  1: list<Member> changes,
  2: i64 configuration_generation,
  3: i64 assignment_version,
  4: list<ServiceLoad> services,
  5: list<RunnerLoad> runners,
  6: i64 incarnation,
  7: bool leaving,
  // Hash of the sender's members that are not dead; a persistent difference triggers a MemberFetch.
  8: i64 table_digest,
  // Hash of the crashes of servers that the sender knows; a persistent difference triggers a CrashFetch.
  9: optional i64 crash_digest,
}

struct PingReply {
  1: list<Member> changes,
  2: i64 configuration_generation,
  3: i64 assignment_version,
  4: i64 incarnation,
  5: bool leaving,
  6: list<ServiceLoad> services,
  7: list<RunnerLoad> runners,
  8: i64 table_digest,
  // Hash of the crashes of servers that the sender knows; a persistent difference triggers a CrashFetch.
  9: optional i64 crash_digest,
}

struct MemberFetch {}
struct MemberReply { 1: list<Member> members }

struct Heartbeat {}

struct ProbeRequest { 1: string node, 2: string peer_address }
struct ProbeReply { 1: string node, 2: bool reachable }

struct ConfigurationFetch { 1: i64 known_generation }
// The generation is -1 when the sender knows none; the document is absent when the requester has it.
struct ConfigurationReply { 1: i64 generation, 2: binary document }

struct ShareRequest { 1: string customer, 2: string node, 3: double demand, 4: i32 concurrency_demand }
struct ShareReply { 1: string customer, 2: double rate, 3: i32 concurrency, 4: double ttl_seconds }

// crashes is the number of known crashes; 0 clears the digest. If reserved is set, the request is
// about to run alone on the runner (service/id), which must get no other work; otherwise the runner
// crashed while running it.
struct SuspectNotice {
  1: string digest,
  2: i32 crashes,
  3: string runner,
  4: bool reserved,
  5: double until,
  // End of the part of the hash ring that the receiver passes this on to; absent for one receiver.
  6: optional i64 part_end,
}
struct RunnerNotice { 1: string service_name, 2: string runner, 3: bool leaving, 4: bool down }

struct Ack { 1: bool ok }

// Asks the owner of a program to reserve tokens for one turn. If last_resort is set, the sender could
// not reach the owner, and the receiver decides even if it does not know the program's usage.
struct TokenReserve {
  1: string program,
  2: string attempt,
  3: i64 tokens,
  4: i64 budget,
  5: bool last_resort,
  // Milliseconds until the program should finish; absent when it has no time objective.
  6: optional i64 finish_ms,
  // Whether no turn of the program has ended before, so that no account of it can be lost.
  7: optional bool begins,
  // Whether the turn is at the start of a chain on a route that retains turns. It may then be the
  // first one of its program, of which whole turns are recorded on storage VMs.
  8: optional bool begins_chain,
}

enum TokenVerdict { GRANTED = 1, REFUSED = 2, NOT_OWNER = 3, UNRECORDED = 4 }

// standing is the priority of a turn among those that wait for engines (pacing.TurnPriority);
// absent when unknown.
struct TokenReserveReply { 1: TokenVerdict verdict, 2: optional i32 standing }

// not_run is set if the turn was refused after its tokens had been reserved, so that it does not count.
struct TokenSettle { 1: string program, 2: string attempt, 3: i64 tokens, 4: optional bool not_run }

struct TokenReservation { 1: string attempt, 2: i64 tokens }

// recorded is the upper bound of usage in the platform's store (TokenRecord.mark) and revision the
// version of that record (0 when there is none); assumed is the part of spent that the sender assumes
// without knowing it.
struct TokenAccount {
  1: string program,
  2: i64 budget,
  3: i64 spent,
  4: list<TokenReservation> reservations,
  5: i64 recorded,
  6: i64 revision,
  7: i64 assumed,
  // Known tokens by the copy of the account that counted them; spent is their sum and assumed.
  8: optional map<string, i64> usage,
}

// mark is an upper bound of the program's usage and revision the version of this record in the
// platform's store. told is a later usage that the owner reported to the other nodes while the store
// was unavailable.
struct TokenRecord {
  1: string program,
  2: i64 budget,
  3: i64 mark,
  4: i64 revision,
  5: optional i64 told,
}

// Records that were written to the platform's store, for the next owners of the programs.
struct TokenRecords { 1: list<TokenRecord> records }

// Requests the account of a program that the sender owns now. Without a program, requests only the
// receiver's knowledge of lost nodes.
struct TokenFetch { 1: string program }

// A time in which a process could own programs, as milliseconds before the message. begun_ms is absent
// if it began before the sender can tell, and ended_ms while it goes on. lost: it failed or was replaced.
struct OwnerPeriod {
  1: string node,
  2: string boot,
  3: optional i64 begun_ms,
  4: optional i64 ended_ms,
  5: optional bool lost,
}

// vouched: the sender of the reply knows all nodes whose accounts were lost recently. complete: it
// knows all records that should have been reported to it. periods: those that began or ended recently.
struct TokenFetchReply {
  1: optional TokenAccount account,
  2: bool vouched,
  3: list<string> lost,
  4: optional bool complete,
  5: optional TokenRecord record,
  6: optional list<OwnerPeriod> periods,
}

struct TokenTransfer { 1: list<TokenAccount> accounts }

struct ServerEntry {
  1: string id,
  2: string service_name,
  3: string address,
  4: string data_centre,
  5: i32 slots,
  6: bool draining,
  7: i64 started_ms,
  8: optional string software_version,
}

// A snapshot of the platform's list of backend servers, taken age_ms ago; servers is absent when the
// receiver was already sent the same entries.
struct ServerListing {
  1: i64 revision,
  2: i32 age_ms,
  3: optional list<ServerEntry> servers,
  4: i64 digest,
  5: i64 routes_version,
  // End of the part of the hash ring that the receiver passes this on to; absent for one receiver.
  6: optional i64 part_end,
  // Node that read the list from the platform's store.
  7: optional string reader,
}

// Requests the routes and the server list of a node while the platform's store is unavailable.
struct FleetFetch {}

// routes is a route table encoded as msgpack; absent when the node has none.
struct FleetFetchReply { 1: optional binary routes, 2: optional ServerListing listing }

// The limit on requests per second that one process of a backend server reports for all nodes
// together; per_second is absent when the server has lifted it. A greater version is newer.
struct ServerLimit {
  1: string server,
  2: i64 started_ms,
  3: i64 version,
  4: optional double per_second,
  // End of the part of the hash ring that the receiver passes this on to; absent for one receiver.
  5: optional i64 part_end,
}

// Requests the limits that the receiver knows.
struct ServerLimitFetch {}
struct ServerLimitFetchReply { 1: list<ServerLimit> limits }

// Asks the node that shares out a server's limit whether one request may be sent within max_delay
// seconds. limit is the limit as the sender knows it, and the reply has the newer one of both nodes.
struct PermitRequest { 1: ServerLimit limit, 2: double max_delay }

// delay is the time in seconds until the request may be sent, or until it is worth asking again.
struct PermitReply { 1: bool granted, 2: double delay, 3: ServerLimit limit }

// The software version of the server that began the stream of a caller's attempt.
struct StreamRecord { 1: string attempt, 2: string software_version }

// window is the longest time in seconds between the start of a stream and its resumption.
struct StreamQuery { 1: string attempt, 2: string service_name, 3: double window }

// software_version is absent when the receiver of the query has no record; unrecorded_version is the
// version of the streams that it knows not to have been recorded.
struct StreamQueryReply {
  1: optional string software_version,
  2: optional string unrecorded_version,
  // Software versions of the service that the receiver of the query knows.
  3: optional list<string> versions,
  // Time in seconds since the receiver of the query joined the fleet.
  4: optional double age,
}

// A process of a backend server crashed while it ran the request with a digest. Unless it has ended,
// the sender only failed to reach it.
struct ServerCrash {
  1: string digest,
  2: string server,
  3: i64 started_ms,
  // End of the part of the hash ring that the receiver passes this on to; absent for one receiver.
  4: optional i64 part_end,
  5: bool ended,
  // Time since the crash; absent for a crash that was just found.
  6: optional i32 age_ms,
}

// Requests the crashes that the receiver knows to have ended processes.
struct CrashFetch {}
struct CrashFetchReply { 1: list<ServerCrash> crashes }

// Asks whether the routes that the sender has were the newest ones lately.
struct RoutesCheck { 1: i64 version }

// age_ms is the time since the receiver last knew, from the platform's store, that the version was the
// newest one, at the time of the reply; absent if it does not know that.
struct RoutesCheckReply { 1: i64 version, 2: optional i32 age_ms }

// Asks the owner of a customer's quota whether requests may be sent to backend servers. starts counts
// those that begin a program. admitted holds one number: the requests that the sender has admitted
// within quotas.windows.GRANT_VALID_S seconds. returned counts granted requests of the last window that
// were never sent. last_resort is set if the
// owner that the receiver has named did not respond, or none was named, plain if the requests belong to
// no program. The sender's figures of the quota are sent to a receiver with older routes.
struct QuotaRequest {
  1: string customer,
  2: i32 requests,
  3: i32 starts,
  4: i64 routes_version,
  5: optional list<i32> admitted,
  6: optional bool last_resort,
  7: optional bool plain,
  8: optional double rate_per_s,
  9: optional double burst,
  10: optional i32 returned,
}

// granted requests may be sent within valid_s seconds; retry_after_s is the time until it is worth
// asking again. is_owner is false when the receiver does not own the quota; holder is then the node
// that does, if it is known. routes_version is set if the owner has older routes than the asker.
struct QuotaReply {
  1: bool is_owner,
  2: i32 granted,
  3: double valid_s,
  4: double retry_after_s,
  5: optional string holder,
  6: optional i64 routes_version,
}

// What a node knows of the quota of a customer: who decides on it, since which term, and the requests
// granted in each of the last intervals of quotas.windows.INTERVAL_S seconds, the latest first. The
// figures are ordered by data_term and number. phase_ms is the time since the latest interval began.
struct QuotaRecord {
  1: string customer,
  2: i64 term,
  3: string holder,
  4: i64 data_term,
  5: i64 number,
  6: list<i32> granted,
  7: optional i32 phase_ms,
}

// Asks a node how many requests of customers it has admitted lately, since the sender now owns their
// quotas. A record is stored by the receiver, unless it knows a later owner; accepted tells.
struct QuotaUsageFetch { 1: list<string> customers, 2: optional QuotaRecord record }
struct QuotaUsage { 1: string customer, 2: list<i32> admitted }
struct QuotaUsageReply {
  1: list<QuotaUsage> usages,
  2: optional double age_s,
  3: optional bool accepted,
  4: optional QuotaRecord record,
}

// A whole turn of a program that is kept. ancestors are the turns that it continues, the oldest first.
// output is the data of each of its events followed by a line feed. Times are Unix ms.
struct TurnRecord {
  1: string id,
  2: string customer,
  3: list<string> ancestors,
  4: binary input,
  5: binary output,
  6: i64 ended_ms,
  7: i64 expires_ms,
  // Program of the turn.
  8: optional string program,
}

// Stores turns; the reply is sent once they are on the disk. A turn that is stored already is kept, and
// only its time of expiry is extended.
struct TurnStore { 1: list<TurnRecord> turns }
struct TurnStoreReply { 1: bool stored, 2: optional string reason }

struct TurnFetch { 1: list<string> ids }

// is_complete tells whether the storage VM has every turn that was ever stored on it and has not
// expired, so that a turn that is not in the reply is certainly not stored there. omitted names turns
// that are stored there, but would make the reply too large; they have to be fetched separately.
struct TurnFetchReply {
  1: list<TurnRecord> turns,
  2: bool is_complete,
  3: optional list<string> omitted,
}

// Names turns that another storage VM should have as well; the reply names those that it lacks. The
// times of expiry of the others are extended. An offer without turns only tells the rest.
struct TurnOffer {
  1: list<string> ids,
  2: list<i64> expires_ms,
  // Whether the sender has every turn that was ever stored on it and has not expired.
  3: optional bool is_complete,
  // The process of the receiver, by its boot, to which the sender has offered all turns that should
  // be stored there; absent before that.
  4: optional string offered_all_to,
}
// The turns that the receiver of an offer lacks; also others, which its disk has refused before.
struct TurnOfferReply { 1: list<string> missing }

// A load report of a backend server, made age_ms ago. slowness is the time that work takes relative
// to the usual time.
struct LoadReport {
  1: i32 running,
  2: i32 waiting,
  3: i32 slots,
  4: optional double slowness,
  5: i32 age_ms,
}

struct EngineReport { 1: string engine, 2: LoadReport report }

// Asks a turn scheduler for the engine of a turn. number identifies the turn among those of the
// sender's boot, and is the same when the sender asks again for a turn that waits. part_ids and
// part_tokens are the parts of its prompt, which engines may have in their caches. Times in ms are
// relative to the moment of sending. finish_ms is absent without an objective, gap_ms without a
// longest pause between events. reports are those that the sender has received since it last asked.
struct PlacementRequest {
  1: string service_name,
  2: i64 number,
  3: i32 standing,
  4: i32 prompt_tokens,
  5: i32 max_output_tokens,
  6: list<string> part_ids,
  7: list<i32> part_tokens,
  8: double waited_ms,
  9: optional double finish_ms,
  10: double deadline_ms,
  11: optional double gap_ms,
  12: optional list<string> excluded,
  13: optional list<EngineReport> reports,
}

// UNKNOWN: the receiver knows no engine of the service, so the sender decides by itself.
enum PlacementVerdict { PLACED = 1, WAITING = 2, REFUSED = 3, UNKNOWN = 4 }

// retry_after_s is the time after which a refused turn is likely to be placed.
struct PlacementReply {
  1: PlacementVerdict verdict,
  2: optional string engine,
  3: optional string reason,
  4: optional double expected_s,
  5: optional double retry_after_s,
}

enum PlacementResult { DONE = 1, NOT_RUN = 2, UNREACHABLE = 3, FAILED = 4, CANCELLED = 5, OTHER = 6 }

// The end of a turn for which a place was asked. The engine is absent if the turn was sent to none.
struct PlacementEnd {
  1: string service_name,
  2: i64 number,
  3: optional string engine,
  4: PlacementResult result,
  5: i32 generated_tokens,
  6: i32 first_tokens,
  7: double first_event_s,
  8: double duration_s,
  9: optional LoadReport report,
}

// The turns of one scheduler at an engine, with the tokens that they hold at most. step_s is the time
// of the engine for each generated token, if the scheduler has learnt it from its own turns.
struct EngineUse {
  1: string engine,
  2: i32 running,
  3: i32 held_tokens,
  4: optional double step_s,
}

// All engines of a service at which the sender has placed turns.
struct EngineSummary { 1: string service_name, 2: list<EngineUse> engines }

union Message {
  1: Hello hello,
  2: Ping ping,
  3: PingReply ping_reply,
  4: ProbeRequest probe_request,
  5: ProbeReply probe_reply,
  6: ConfigurationFetch configuration_fetch,
  7: ConfigurationReply configuration_reply,
  8: ShareRequest share_request,
  9: ShareReply share_reply,
  10: SuspectNotice suspect_notice,
  11: RunnerNotice runner_notice,
  12: Ack ack,
  13: MemberFetch member_fetch,
  14: MemberReply member_reply,
  15: Heartbeat heartbeat,
  16: TokenReserve token_reserve,
  17: TokenReserveReply token_reserve_reply,
  18: TokenSettle token_settle,
  19: TokenTransfer token_transfer,
  20: ServerListing server_listing,
  21: TokenFetch token_fetch,
  22: TokenFetchReply token_fetch_reply,
  23: FleetFetch fleet_fetch,
  24: FleetFetchReply fleet_fetch_reply,
  25: TokenRecords token_records,
  26: ServerLimit server_limit,
  27: ServerLimitFetch server_limit_fetch,
  28: ServerLimitFetchReply server_limit_fetch_reply,
  29: PermitRequest permit_request,
  30: PermitReply permit_reply,
  31: StreamRecord stream_record,
  32: StreamQuery stream_query,
  33: StreamQueryReply stream_query_reply,
  34: ServerCrash server_crash,
  35: CrashFetch crash_fetch,
  36: CrashFetchReply crash_fetch_reply,
  37: RoutesCheck routes_check,
  38: RoutesCheckReply routes_check_reply,
  39: QuotaRequest quota_request,
  40: QuotaReply quota_reply,
  41: QuotaUsageFetch quota_usage_fetch,
  42: QuotaUsageReply quota_usage_reply,
  43: TurnStore turn_store,
  44: TurnStoreReply turn_store_reply,
  45: TurnFetch turn_fetch,
  46: TurnFetchReply turn_fetch_reply,
  47: TurnOffer turn_offer,
  48: TurnOfferReply turn_offer_reply,
  60: PlacementRequest placement_request,
  61: PlacementReply placement_reply,
  62: PlacementEnd placement_end,
  63: EngineSummary engine_summary,
}

struct Envelope {
  1: i64 request_id,
  2: bool reply,
  3: Message message,
}
