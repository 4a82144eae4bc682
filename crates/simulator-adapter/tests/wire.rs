//! Decodes one frame of each kind of event and encodes one of each kind of action, and compares them byte by byte: all
//! fields are at their positions, and no other byte is used.
use std::fmt::Write;
use std::ops::Range;
use std::time::Duration;

use lilacgate_decision::{
    Actions, AgentId, AttemptNumber, Build, EndpointId, RequestId, Stage, TimerId, Vote,
};
use lilacgate_simulator_adapter::wire::{EventKind, Reply, read_frame};
use rstest::rstest;

const EVENT_SIZE: usize = 40;
const ACTION_SIZE: usize = 24;
/// 8412250 µs.
const CLOCK: [u8; 8] = [0, 0, 0, 0, 0, 0x80, 0x5c, 0x5a];

fn from_hex(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex
        .chars()
        .filter_map(|digit| digit.to_digit(16))
        .map(|digit| digit as u8)
        .collect();
    digits
        .chunks_exact(2)
        .map(|pair| pair[0] << 4 | pair[1])
        .collect()
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut hex, byte| {
        write!(hex, "{byte:02x}").expect("writing to a string succeeds");
        hex
    })
}

/// A frame of one record and a tail.
fn frame(record: &[u8], tail: &[u8]) -> Vec<u8> {
    let mut bytes = ((16 + EVENT_SIZE + tail.len()) as u32)
        .to_be_bytes()
        .to_vec();
    bytes.extend(1_u32.to_be_bytes());
    bytes.extend(CLOCK);
    bytes.extend_from_slice(record);
    bytes.resize(16 + EVENT_SIZE, 0);
    bytes.extend_from_slice(tail);
    bytes
}

/// The decoded content of a frame with one record.
#[derive(Debug, PartialEq)]
struct Decoded {
    now: Duration,
    kind: Option<EventKind>,
    /// The event or the error, as text.
    event: String,
}

fn decoded(record: &[u8], tail: &[u8]) -> Decoded {
    let bytes = frame(record, tail);
    let frame = read_frame(&mut bytes.as_slice())
        .expect("the frame is complete")
        .expect("the input has a frame");
    let [record] = frame.records()[..] else {
        panic!("the frame does not hold exactly one record");
    };
    let event = match record.event() {
        Ok(event) => format!("{event:?}"),
        Err(error) => format!("error: {error}"),
    };
    Decoded {
        now: frame.now,
        kind: record.kind(),
        event,
    }
}

const ENTRIES: &str = "03124a07 01 04 3f800000 00000000005d1420 42280000 0506 07 \
                       2c9011f2 02 08 3fc00000 0000000000000000 42240000 0102 03";

#[rstest]
#[case::select_instance("0f 0a03", "", EventKind::SelectInstance, "SelectInstance(2563)", 1..3)]
#[case::instance_started(
    "06 0102030405060708 00000001 00000002",
    "787a793d",
    EventKind::InstanceStarted,
    "InstanceStarted { seed: 72623859790382856, settings: [122, 121] }",
    1..17
)]
#[case::instance_stopped("09", "", EventKind::InstanceStopped, "InstanceStopped", 1..1)]
#[case::endpoint_page(
    "05 00000009 00000000 00000002",
    ENTRIES,
    EventKind::EndpointPage,
    "EndpointPage(EndpointPage { number: 9, endpoints: [\
     Endpoint { id: EndpointId(51530247), status: Ready, machine_model: MachineModel(4), weight: 1.0, \
     started: Some(6.1s), build: Build(42), cell: Cell(1286), zone: Zone(7) }, \
     Endpoint { id: EndpointId(747639282), status: Draining, machine_model: MachineModel(8), weight: 1.5, \
     started: None, build: Build(41), cell: Cell(258), zone: Zone(3) }] })",
    1..13
)]
#[case::endpoint_update(
    "0e 0000000000000029 0000000b 02",
    "",
    EventKind::EndpointUpdate,
    "EndpointUpdate { page: 11, update: Cached }",
    9..14
)]
#[case::request(
    "0d 5d3a91c4 03 91f03b7c55d20a64 05 0607 00000000008405da 00002ee0",
    "",
    EventKind::Request,
    "Request { id: RequestId(1564119492), request: Request { class: RequestClass(5), tenant: Tenant(1543), \
     idempotency_key: Some(IdempotencyKey(10515970535111920228)), deadline: 8.65225s, \
     estimated_work: Some(12ms), is_retry: true, age: 0ns } }",
    1..29
)]
#[case::attempt_ended(
    "04 5d3a91c4 02 03124a07 28 00004844 01 04 3f800000 40000000 40400000 40800000",
    "",
    EventKind::AttemptEnded,
    "AttemptEnded(AttemptEnd { id: RequestId(1564119492), attempt: AttemptNumber(2), \
     endpoint: EndpointId(51530247), outcome: TimedOut, took: 18.5ms, closed: true, \
     load: Some([1.0, 2.0, 3.0, 4.0]) })",
    1..33
)]
#[case::response_started(
    "07 5d3a91c4 02 03124a07 00002422",
    "",
    EventKind::ResponseStarted,
    "ResponseStarted { id: RequestId(1564119492), attempt: AttemptNumber(2), \
     endpoint: EndpointId(51530247), took: 9.25ms }",
    1..14
)]
#[case::client_left(
    "02 0e6f2b19",
    "",
    EventKind::ClientLeft,
    "ClientLeft(RequestId(242166553))",
    1..5
)]
#[case::wake_up(
    "01 010000000000004d",
    "",
    EventKind::WakeUp,
    "WakeUp(TimerId(72057594037928013))",
    1..9
)]
#[case::health_check(
    "0c 2c9011f2 0a 00000578 04 41680000 3f800000 40000000 40400000",
    "",
    EventKind::HealthCheck,
    "HealthCheck { endpoint: EndpointId(747639282), outcome: Succeeded, took: 1.4ms, \
     load: Some([14.5, 1.0, 2.0, 3.0]) }",
    1..27
)]
#[case::peer_message(
    "0a 00000102 00000001 00000003",
    "0068692037",
    EventKind::PeerMessage,
    "PeerMessage { sender: AgentId(258), payload: [104, 105, 32] }",
    1..13
)]
#[case::release_notice(
    "08 042a 02 01 01 0a 3e000000 0004baf0",
    "",
    EventKind::ReleaseNotice,
    "ReleaseNotice(ReleaseNotice { status: Some(ReleaseStatus { build: Build(1066), stage: Stage(2), \
     phase: RollingBack, cap: 0.125, age: 310ms }), vote_outcome: Some(Succeeded) })",
    1..15
)]
#[case::period_statistics(
    "03 001312d0 000000b4 042a 03 00000004 000053fc",
    "",
    EventKind::PeriodStatistics,
    "PeriodStatistics(PeriodStatistics { build: Build(1066), class: RequestClass(3), count: 180, \
     failed: 4, mean: 21.5ms, age: 1.25s })",
    1..20
)]
#[case::wrong_answer(
    "0b 2c9011f2 03 00249f00",
    "",
    EventKind::WrongAnswer,
    "WrongAnswer { endpoint: EndpointId(747639282), class: RequestClass(3), sent_ago: 2.4s }",
    1..10
)]
fn events(
    #[case] record: &str,
    #[case] tail: &str,
    #[case] kind: EventKind,
    #[case] event: &str,
    #[case] used_bytes: Range<usize>,
) {
    let (mut record, tail) = (from_hex(record), from_hex(tail));
    record.resize(EVENT_SIZE, 0);
    let expected = Decoded {
        now: Duration::from_micros(8_412_250),
        kind: Some(kind),
        event: event.to_owned(),
    };
    assert_eq!(decoded(&record, &tail), expected);
    for position in 1..EVENT_SIZE {
        // A flag is set by any bit of its byte, so that only 0 clears it.
        let replacements = [record[position] ^ 0x7f, 0];
        let is_significant = replacements.iter().any(|replacement| {
            let mut changed = record.clone();
            changed[position] = *replacement;
            decoded(&changed, &tail).event != event
        });
        assert_eq!(
            is_significant,
            used_bytes.contains(&position),
            "byte {position}"
        );
    }
}

/// The codes, flags and absent values that the frames above do not cover.
#[rstest]
#[case::no_key(
    "0d 5d3a91c4 04 0000000000000000 05 0607 00000000008405da 00002ee0",
    "idempotency_key: None"
)]
#[case::no_work(
    "0d 5d3a91c4 04 0000000000000000 05 0607 00000000008405da 00002ee0",
    "estimated_work: None"
)]
#[case::no_retry(
    "0d 5d3a91c4 05 0000000000000000 05 0607 00000000008405da 00002ee0",
    "is_retry: false"
)]
#[case::no_report("0c 2c9011f2 0a 00000578 00 41680000", "load: None")]
#[case::one_gauge(
    "0c 2c9011f2 0a 00000578 01 41680000",
    "load: Some([14.5, NaN, NaN, NaN])"
)]
#[case::five_gauges(
    "0c 2c9011f2 0a 00000578 05 41680000",
    "load: Some([14.5, 0.0, 0.0, 0.0])"
)]
#[case::failed("0c 2c9011f2 14", "outcome: Failed")]
#[case::rejected("0c 2c9011f2 1e", "outcome: Rejected")]
#[case::timed_out("0c 2c9011f2 28", "outcome: TimedOut")]
#[case::connect_failed("0c 2c9011f2 32", "outcome: ConnectFailed")]
#[case::connection_lost("0c 2c9011f2 3c", "outcome: ConnectionLost")]
#[case::cancelled("0c 2c9011f2 46", "outcome: Cancelled")]
#[case::not_sent("0c 2c9011f2 50", "outcome: NotSent")]
#[case::unknown_outcome(
    "0c 2c9011f2 51",
    "error: unknown outcome code 81; expected a multiple of 10 from 10 to 80"
)]
#[case::delta("0e 0000000000000029 00000000 00", "update: Delta")]
#[case::full("0e 0000000000000029 00000000 01", "update: Full")]
#[case::failed_update("0e 0000000000000029 00000000 03", "update: Failed")]
#[case::unknown_update(
    "0e 0000000000000029 00000000 04",
    "error: unknown endpoint list update code 4; expected 0 to 3"
)]
#[case::canary("08 042a 02 00 00 0a 3e000000", "phase: Canary")]
#[case::released("08 042a 02 02 00 0a 3e000000", "phase: Released")]
#[case::withdrawn("08 042a 02 03 00 0a 3e000000", "phase: Withdrawn")]
#[case::unknown_phase(
    "08 042a 02 04 00 0a 3e000000",
    "error: unknown release phase code 4; expected 0 to 3"
)]
#[case::no_vote("08 042a 02 00 00 0a 3e000000", "vote_outcome: None")]
#[case::lost_vote(
    "08 042a 02 09 01 50 7fc00000",
    "status: None, vote_outcome: Some(NotSent)"
)]
#[case::no_share(
    "08 042a 02 00 00 0a bf800000",
    "error: a share of requests is -1; expected a finite number, not below 0"
)]
#[case::unknown_event("10", "error: unknown event code 16; expected 1 to 15")]
#[case::outside_tail(
    "0a 00000001 00000000 00000001",
    "error: a field refers to bytes outside the frame's tail"
)]
fn event_values(#[case] record: &str, #[case] expected: &str) {
    let event = decoded(&from_hex(record), &[]).event;
    assert!(event.contains(expected), "{event}");
}

#[rstest]
#[case::removed(
    "03124a07 00 04 3f800000 0000000000000000 42280000 0506 07",
    "status: Removed"
)]
#[case::unknown_status(
    "03124a07 03 04 3f800000 0000000000000000 42280000 0506 07",
    "error: unknown endpoint status code 3; expected 0 to 2"
)]
#[case::build(
    "03124a07 01 04 3f800000 0000000000000000 47800000 0506 07",
    "error: an endpoint has the build 65536; expected 0 to 65535"
)]
#[case::weight(
    "03124a07 01 04 bf800000 0000000000000000 42280000 0506 07",
    "error: an endpoint has the weight -1; expected a finite number, not below 0"
)]
#[case::cut(
    "03124a07 01 04 3f800000 0000000000000000 42280000 0506",
    "error: a field refers to bytes outside the frame's tail"
)]
fn entry_values(#[case] entry: &str, #[case] expected: &str) {
    let page = from_hex("05 00000009 00000000 00000001");
    let event = decoded(&page, &from_hex(entry)).event;
    assert!(event.contains(expected), "{event}");
}

const REQUEST: RequestId = RequestId(0x5d3a_91c4);
const ENDPOINT: EndpointId = EndpointId(0x0312_4a07);
const TIMER: TimerId = TimerId(0x0100_0000_0000_004d);
const BUILD: Build = Build(0x042a);

type AppendAction = fn(&mut Reply);

#[rstest]
#[case::send_attempt(
    |reply: &mut Reply| reply.send_attempt(REQUEST, ENDPOINT, Duration::from_millis(80), None),
    "01 5d3a91c4 03124a07 00013880", "")]
#[case::send_attempt_without_end(
    |reply: &mut Reply| reply.send_attempt(REQUEST, ENDPOINT, Duration::from_secs(5000), None),
    "01 5d3a91c4 03124a07 ffffffff", "")]
#[case::reject(
    |reply: &mut Reply| reply.reject(REQUEST, Duration::from_millis(250)),
    "02 5d3a91c4 0003d090", "")]
#[case::fail(|reply: &mut Reply| reply.fail(REQUEST), "03 5d3a91c4", "")]
#[case::cancel(|reply: &mut Reply| reply.cancel(REQUEST, AttemptNumber(2)), "04 5d3a91c4 02", "")]
#[case::wake_up(
    |reply: &mut Reply| reply.schedule_wake_up(Duration::from_micros(8_912_250), TIMER),
    "05 000000000087fd7a 010000000000004d", "")]
#[case::wake_up_never(
    |reply: &mut Reply| reply.schedule_wake_up(Duration::MAX, TIMER),
    "05 ffffffffffffffff 010000000000004d", "")]
#[case::check_health(|reply: &mut Reply| reply.check_health(ENDPOINT), "06 03124a07", "")]
#[case::close_idle(|reply: &mut Reply| reply.close_idle_connections(ENDPOINT), "07 03124a07", "")]
#[case::to_peer(
    |reply: &mut Reply| reply.send_to_peer(Some(AgentId(0x102)), b"hi 7"),
    "08 00000102 00000000 00000004", "68692037")]
#[case::to_all_peers(
    |reply: &mut Reply| reply.send_to_peer(None, b"hi 7"),
    "08 ffffffff 00000000 00000004", "68692037")]
#[case::log(|reply: &mut Reply| reply.log("two"), "09 00000000 00000003", "74776f")]
#[case::fatal(|reply: &mut Reply| reply.fatal("two"), "0a 00000000 00000003", "74776f")]
#[case::watch(|reply: &mut Reply| reply.watch_endpoints(true), "0b 01", "")]
#[case::no_watch(|reply: &mut Reply| reply.watch_endpoints(false), "0b 00", "")]
#[case::fetch(Actions::fetch_endpoints, "0c", "")]
#[case::retract(|reply: &mut Reply| reply.vote(BUILD, Stage(2), Vote::Retract), "0d 042a 02 00", "")]
#[case::advance(|reply: &mut Reply| reply.vote(BUILD, Stage(2), Vote::Advance), "0d 042a 02 01", "")]
#[case::hold(|reply: &mut Reply| reply.vote(BUILD, Stage(2), Vote::Hold), "0d 042a 02 02", "")]
#[case::roll_back(|reply: &mut Reply| reply.vote(BUILD, Stage(2), Vote::RollBack), "0d 042a 02 03", "")]
fn actions(#[case] append: AppendAction, #[case] record: &str, #[case] tail: &str) {
    let mut reply = Reply::default();
    append(reply.for_instance(0x0a03));
    let tail = from_hex(tail);
    let mut expected = 2_u32.to_be_bytes().to_vec();
    expected.extend(((8 + 2 * ACTION_SIZE + tail.len()) as u32).to_be_bytes());
    expected.extend(from_hex("0e 0a03"));
    expected.resize(8 + ACTION_SIZE, 0);
    expected.extend(from_hex(record));
    expected.resize(8 + 2 * ACTION_SIZE, 0);
    expected.extend(tail);
    assert_eq!(to_hex(&written(&reply)), to_hex(&expected));
}

fn written(reply: &Reply) -> Vec<u8> {
    let mut bytes = Vec::new();
    reply.write(&mut bytes).expect("writing to memory succeeds");
    bytes
}

/// An instance is selected before its first action only, and the tails of its actions follow one another.
#[test]
fn instances_and_tails() {
    let mut reply = Reply::default();
    reply.for_instance(3).log("ab");
    reply.for_instance(3).log("c");
    reply.for_instance(4);
    reply.for_instance(5).fetch_endpoints();
    let zeros = |count: usize| "00".repeat(count);
    let expected = [
        "0000000500000083".to_owned(),
        format!("0e0003{}", zeros(21)),
        format!("090000000000000002{}", zeros(15)),
        format!("090000000200000001{}", zeros(15)),
        format!("0e0005{}", zeros(21)),
        format!("0c{}", zeros(23)),
        "616263".to_owned(),
    ];
    assert_eq!(to_hex(&written(&reply)), expected.concat());
    reply.clear();
    assert_eq!(to_hex(&written(&reply)), "0000000000000008");
}
