//! Steps of clients.
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use lilacgate_test_bed::framing::{encode_command, read_resp};
use lilacgate_test_bed::scenario_text::{matches_pattern, unescape};
use lilacgate_test_bed::scripted_server::MAX_WAIT;

use super::agent_process::ping;
use super::{Scenario, Words};

/// The timeout of a connection without a second try. If the backlog is full, the kernel drops the first SYN, and the
/// connection is established only after its retransmission a second later.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(900);
/// The first bytes of a command.
const PARTIAL_COMMAND: &[u8] = b"*4\r\n$9\r\nSVC";

impl Scenario {
    pub(super) fn client_step(&mut self, words: Words) {
        match words.first {
            "client" => {
                let client = Words::of(words.rest);
                self.named_client_step(client.first, client.rest);
            }
            "open" => {
                for _ in 0..words.number() {
                    let mut connection = self.connect();
                    ping(&mut connection);
                    self.unnamed_clients.push(connection);
                }
            }
            "open-with-partial-command" => {
                for _ in 0..words.number() {
                    let connection = self.connect();
                    connection
                        .get_ref()
                        .write_all(PARTIAL_COMMAND)
                        .expect("the bytes are written");
                    self.unnamed_clients.push(connection);
                }
            }
            "open-and-stop-mid-command" => {
                for _ in 0..words.number() {
                    let mut connection = self.connect();
                    ping(&mut connection);
                    connection
                        .get_ref()
                        .write_all(PARTIAL_COMMAND)
                        .expect("the bytes are written");
                    self.unnamed_clients.push(connection);
                }
            }
            "connect" => {
                for client in 0..words.number() {
                    self.connect_without_retry(client);
                }
            }
            "close-all" => self.unnamed_clients.clear(),
            other => panic!("unknown step {other}"),
        }
    }

    /// Connects a client, and fails if the backlog is full.
    fn connect_without_retry(&mut self, client: u32) {
        let connection = TcpStream::connect_timeout(&self.listen, BACKLOG_TIMEOUT);
        let connection = connection.unwrap_or_else(|error| {
            panic!("client {client} finds no place in the backlog: {error}")
        });
        connection
            .set_read_timeout(Some(MAX_WAIT))
            .expect("a time-out");
        self.unnamed_clients.push(BufReader::new(connection));
    }

    fn named_client_step(&mut self, name: &str, what: &str) {
        if !self.clients.contains_key(name) {
            let connection = self.connect();
            self.clients.insert(name.into(), connection);
        }
        let connection = self.clients.get_mut(name).expect("a client");
        let words = Words::of(what);
        match words.first {
            "connects" => {}
            "leaves" => drop(self.clients.remove(name)),
            "raw" => connection
                .get_ref()
                .write_all(&unescape(words.rest))
                .expect("the bytes are written"),
            "reads" => {
                let answer = read_resp(connection).unwrap_or_else(|| "end-of-connection".into());
                assert!(
                    matches_pattern(words.rest, &answer),
                    "client {name} reads {answer:.200}"
                );
            }
            "shuts-down-sending" => connection
                .get_ref()
                .shutdown(Shutdown::Write)
                .expect("the sending side is closed"),
            "reset" => assert!(
                is_reset(connection),
                "client {name}'s connection is not reset: its command was read"
            ),
            "end-of-stream" => {
                let length = connection.read(&mut [0]).expect("no reset");
                assert_eq!(length, 0, "client {name} is still served");
            }
            "disconnected" => {
                let timeout = words.rest.parse().map_or(MAX_WAIT, Duration::from_millis);
                assert!(
                    ends_within(connection, timeout),
                    "client {name} is still served"
                );
            }
            "answered-within" => {
                let answer = read_resp(connection).unwrap_or_else(|| "end-of-connection".into());
                let elapsed = self.commands_sent[name].elapsed();
                assert!(
                    elapsed <= Duration::from_millis(words.number()),
                    "client {name} reads {answer:.200} after {elapsed:?}"
                );
            }
            _ => {
                send_command(connection, what);
                self.commands_sent.insert(name.into(), Instant::now());
            }
        }
    }
}

/// Whether the agent has reset the connection. After the end of the stream, this shows only in later writes.
fn is_reset(connection: &BufReader<TcpStream>) -> bool {
    (0..100).any(|_| {
        thread::sleep(Duration::from_millis(10));
        connection.get_ref().write_all(b"*").is_err()
    })
}

/// Whether the connection ends, or is reset, within this time.
fn ends_within(connection: &mut BufReader<TcpStream>, timeout: Duration) -> bool {
    connection
        .get_ref()
        .set_read_timeout(Some(timeout))
        .expect("a time-out");
    match connection.read(&mut [0]) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Sends a command. `,d` without a value stands for a deadline of 30 seconds.
fn send_command(connection: &BufReader<TcpStream>, command_text: &str) {
    let text = if command_text.contains(",d=") {
        command_text.to_owned()
    } else {
        command_text.replace(",d", ",d=30000")
    };
    let parts: Vec<&str> = text.split(' ').collect();
    connection
        .get_ref()
        .write_all(encode_command(&parts).as_bytes())
        .expect("the bytes are written");
}
