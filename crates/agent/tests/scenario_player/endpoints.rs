//! Steps of endpoints.
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use lilacgate_test_bed::framing::read_resp;
use lilacgate_test_bed::scenario_text::{matches_pattern, unescape};
use lilacgate_test_bed::scripted_server::{CONNECTION_END, ScriptedServer};
use lilacgate_test_bed::start_file::EndpointEntry;
use socket2::{Domain, Socket, Type};

use super::{FullBacklogEndpoint, Scenario, Words};

/// The build of an endpoint whose step names none.
const FIRST_BUILD: &str = "1";
/// The largest number of connections that it takes to fill a backlog of 1.
const MAX_FILLING: usize = 16;
/// The connect timeout by which a full backlog is recognised.
const FILLING_TIMEOUT: Duration = Duration::from_millis(200);

impl Scenario {
    pub(super) fn endpoint_step(&mut self, words: Words) {
        match words.first {
            "endpoint" => self.add_endpoint(Words::of(words.rest)),
            "full-backlog" => self.add_full_backlog_endpoint(words.rest),
            name if self.full_backlog_endpoints.contains_key(name) => {
                self.full_backlog_endpoint_step(name, words.rest);
            }
            name => self.named_endpoint_step(name, Words::of(words.rest)),
        }
    }

    fn add_endpoint(&mut self, words: Words) {
        let name = words.first;
        let build = if words.rest.is_empty() {
            FIRST_BUILD
        } else {
            words.rest
        };
        let server = ScriptedServer::silent(read_resp);
        let listed = EndpointEntry::new(name, server.address, "x", "ready", build).to_json();
        self.saved_list.push(listed);
        self.endpoints.insert(name.into(), server);
    }

    fn add_full_backlog_endpoint(&mut self, name: &str) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any_port.into()).expect("a free port");
        socket.listen(1).expect("a listening socket");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("a local address");
        let connect = || TcpStream::connect_timeout(&address, FILLING_TIMEOUT).ok();
        let connections: Vec<TcpStream> = std::iter::from_fn(connect).take(MAX_FILLING).collect();
        assert!(
            connections.len() < MAX_FILLING,
            "the backlog is not full after {MAX_FILLING} connections"
        );
        let listed = EndpointEntry::new(name, address, "x", "ready", FIRST_BUILD).to_json();
        self.saved_list.push(listed);
        let full_backlog_endpoint = FullBacklogEndpoint {
            listener,
            connections,
        };
        self.full_backlog_endpoints
            .insert(name.into(), full_backlog_endpoint);
    }

    fn full_backlog_endpoint_step(&mut self, name: &str, what: &str) {
        let endpoint = self
            .full_backlog_endpoints
            .get_mut(name)
            .expect("a full endpoint");
        match what {
            "accepts" => {
                for _ in endpoint.connections.drain(..) {
                    endpoint.listener.accept().expect("a filling connection");
                }
                // The agent's connection is the last one in the backlog.
                let agents = endpoint
                    .listener
                    .accept()
                    .expect("the agent's connection")
                    .0;
                endpoint.connections.push(agents);
            }
            "receives-nothing" => {
                let connection = &endpoint.connections[0];
                connection
                    .set_nonblocking(true)
                    .expect("non-blocking mode is set");
                let read = connection.peek(&mut [0]).map_err(|error| error.kind());
                assert_eq!(
                    read,
                    Err(ErrorKind::WouldBlock),
                    "{name} received bytes on the agent's connection"
                );
            }
            other => panic!("unknown step {name} {other}"),
        }
    }

    fn named_endpoint_step(&mut self, name: &str, words: Words) {
        let server = self
            .endpoints
            .get_mut(name)
            .unwrap_or_else(|| panic!("unknown step or endpoint: {name} {}", words.first));
        match words.first {
            "gets" if words.rest == CONNECTION_END => server.expect_connection_end(),
            "gets" => {
                let command = server.next_message();
                assert!(
                    matches_pattern(words.rest, &command),
                    "{name} gets {command:.200}"
                );
            }
            "deadline-at-most" => {
                let deadline = server.last_message().and_then(deadline_of);
                let most = words.number();
                assert!(
                    deadline.is_some_and(|deadline| deadline <= most),
                    "{name} has {deadline:?} ms left, expected at most {most}"
                );
            }
            "answers" => server.write(&unescape(words.rest)),
            "closes" => server.close_current(),
            "stops-listening" => server.shut_down(),
            "idle" => assert!(server.is_idle(), "{name} got an unexpected message"),
            "selects" => server.select_connection_of(words.rest),
            "connections" => {
                let connections = server.connections.lock().expect("the lock").len();
                assert_eq!(connections.to_string(), words.rest);
            }
            other => panic!("unknown step {name} {other}"),
        }
    }
}

/// Returns the deadline in a command to an endpoint, in milliseconds.
fn deadline_of(command: &str) -> Option<u64> {
    let (_, value) = command.split_once(",d=")?;
    let end = value.find(|letter: char| !letter.is_ascii_digit());
    value[..end.unwrap_or(value.len())].parse().ok()
}
