//! Tests the input reader of a connection against a real socket.
use std::io::Write as _;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use lilacgate_agent::log::ConnectionEnd;
use lilacgate_agent::transport::{InputReader, Parse};
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
