//! Tests the input reader of a connection against a real socket.
use std::io::Write as _;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use lilacgate_agent::log::ConnectionEnd;
use lilacgate_agent::transport::{ByteLimit, InputReader, Parse, with_timeout};
use rstest::rstest;

/// A parser that consumes an item only when all of its bytes are buffered.
struct WholeItem {
    length: usize,
}

impl Parse for WholeItem {
    type Item = Vec<u8>;

    fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Vec<u8>>), ConnectionEnd> {
        if bytes.len() < self.length {
            return Ok((0, None));
        }
        Ok((self.length, Some(bytes[..self.length].to_vec())))
    }

    fn is_between_items(&self) -> bool {
        true
    }
}

/// A buffer that is full before an item is complete must fail as too long. Without the check, the read into a buffer
/// without room would return 0 and look like the end of the stream.
#[rstest]
#[case::fits(64, 64, Ok(Some(vec![b'x'; 64])))]
#[case::larger_than_the_limit(65, 64, Err(ConnectionEnd::TooLong))]
fn an_item_and_the_limit(
    #[case] length: usize,
    #[case] limit: usize,
    #[case] expected: Result<Option<Vec<u8>>, ConnectionEnd>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut client =
        TcpStream::connect(listener.local_addr().expect("its address")).expect("a connection");
    client
        .write_all(&[b'x'; 80])
        .expect("the bytes are written");
    let stream = Arc::new(listener.accept().expect("a connection").0);
    let result = async_io::block_on(async {
        let stream = Async::new(stream).expect("the stream is registered");
        let mut reader = InputReader::new(WholeItem { length }, limit, Duration::from_secs(20));
        reader.next(&stream).await
    });
    assert_eq!(result, expected);
}

/// Accepts a connection on which `sent` has been written, and returns it with the client's end.
fn connection_with(sent: &[u8]) -> (Async<Arc<TcpStream>>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let mut client = TcpStream::connect(address).expect("a connection");
    client.write_all(sent).expect("the bytes are written");
    let stream = Arc::new(listener.accept().expect("a connection").0);
    (
        Async::new(stream).expect("the stream is registered"),
        client,
    )
}

/// Guards against clients that stop in the middle of long messages and take the process over its memory limit: once the
/// partial items of all readers hold their bound, the input of another one stays in its socket, but for its first KiB; it
/// is read as soon as there is room.
#[test]
fn partial_items_of_all_readers_are_bounded() {
    const MAX_BYTES: usize = 4 << 10;
    const LENGTH: usize = 3 << 10;
    let limit = ByteLimit::new(MAX_BYTES);
    let budget = limit.budget.clone();
    let reader = |length| {
        let item = WholeItem { length };
        InputReader::new(item, 64 << 10, Duration::from_secs(20)).with_partial_item_limit(&limit)
    };
    let wait = Duration::from_millis(200);
    let (stalled_stream, _stalled_client) = connection_with(&[b'x'; MAX_BYTES]);
    let (stream, _client) = connection_with(&[b'y'; LENGTH]);
    async_io::block_on(async {
        let mut stalled = reader(MAX_BYTES + 1);
        let first = with_timeout(wait, stalled.next(&stalled_stream)).await;
        assert_eq!(first, Err(ConnectionEnd::TimedOut));
        assert_eq!(budget.held(), MAX_BYTES);
        let mut other = reader(LENGTH);
        let second = with_timeout(wait, other.next(&stream)).await;
        assert_eq!(second, Err(ConnectionEnd::TimedOut));
        assert_eq!(budget.held(), MAX_BYTES + (1 << 10));
        drop(stalled);
        assert_eq!(other.next(&stream).await, Ok(Some(vec![b'y'; LENGTH])));
        assert_eq!(budget.held(), 0);
    });
}

/// Guards against replies of endpoints that together take the agent over its memory limit: while the bound is reached,
/// another item stays in its socket, but for its first KiB. One that has got its reservation is read to its end, however
/// many others are incomplete: otherwise all of them would wait for each other.
#[test]
fn items_are_read_whole_within_their_bound() {
    const LENGTH: usize = 3 << 10;
    let limit = ByteLimit::new(LENGTH);
    let reader = |length| {
        let item = WholeItem { length };
        InputReader::new(item, 64 << 10, Duration::from_secs(20))
            .with_whole_item_limit(&limit, LENGTH)
    };
    let wait = Duration::from_millis(200);
    let (first_stream, mut first_endpoint) = connection_with(&[b'x'; LENGTH - 1]);
    let (second_stream, _second_endpoint) = connection_with(&[b'y'; LENGTH]);
    async_io::block_on(async {
        let mut first = reader(LENGTH);
        let incomplete = with_timeout(wait, first.next(&first_stream)).await;
        assert_eq!(incomplete, Err(ConnectionEnd::TimedOut));
        assert_eq!(limit.budget.held(), LENGTH);
        let mut second = reader(LENGTH);
        let waiting = with_timeout(wait, second.next(&second_stream)).await;
        assert_eq!(waiting, Err(ConnectionEnd::TimedOut));
        assert_eq!(limit.budget.held(), LENGTH + (1 << 10));
        first_endpoint.write_all(b"x").expect("the last byte");
        assert_eq!(
            first.next(&first_stream).await,
            Ok(Some(vec![b'x'; LENGTH]))
        );
        assert_eq!(
            second.next(&second_stream).await,
            Ok(Some(vec![b'y'; LENGTH]))
        );
        assert_eq!(limit.budget.held(), 0);
    });
}
