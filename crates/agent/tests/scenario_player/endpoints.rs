//! Steps of endpoints.
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use lilacgate_test_bed::framing::read_resp;
use lilacgate_test_bed::scenario_text::{matches_pattern, unescape};
use lilacgate_test_bed::scripted_server::{CONNECTION_END, ScriptedServer};
use lilacgate_test_bed::start_file::EndpointEntry;
use socket2::{Domain, Socket, Type};

use super::{FullEndpoint, Scenario, Words};

/// The build of an endpoint that is given none.
const FIRST_BUILD: &str = "1";
/// The most connections that fill a backlog of one.
const MAX_FILLING: usize = 16;
/// How long a connection to a full backlog is tried.
const FILLING_TIMEOUT: Duration = Duration::from_millis(200);

impl Scenario {
    pub(super) fn endpoint_step(&mut self, words: Words) {
        match words.first {
            "endpoint" => self.add_endpoint(Words::of(words.rest)),
            "full" => self.add_full_endpoint(words.rest),
            name if self.full_endpoints.contains_key(name) => {
                self.full_endpoint_step(name, words.rest);
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

    fn add_full_endpoint(&mut self, name: &str) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any_port.into()).expect("a free port");
        socket.listen(1).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("its address");
        let connect = || TcpStream::connect_timeout(&address, FILLING_TIMEOUT).ok();
        let connections: Vec<TcpStream> = std::iter::from_fn(connect).take(MAX_FILLING).collect();
        assert!(connections.len() < MAX_FILLING, "its backlog is never full");
        let listed = EndpointEntry::new(name, address, "x", "ready", FIRST_BUILD).to_json();
        self.saved_list.push(listed);
        let full_endpoint = FullEndpoint {
            listener,
            connections,
        };
        self.full_endpoints.insert(name.into(), full_endpoint);
    }

    fn full_endpoint_step(&mut self, name: &str, what: &str) {
        let endpoint = self.full_endpoints.get_mut(name).expect("a full endpoint");
        match what {
            "takes" => {
                for _ in endpoint.connections.drain(..) {
                    endpoint.listener.accept().expect("it waits in line");
                }
                // The agent's own comes last.
                let agents = endpoint.listener.accept().expect("the agent's").0;
                endpoint.connections.push(agents);
            }
            "untouched" => {
                let connection = &endpoint.connections[0];
                connection.set_nonblocking(true).expect("it does not wait");
                let read = connection.peek(&mut [0]).map_err(|error| error.kind());
                assert_eq!(read, Err(ErrorKind::WouldBlock), "it was sent on");
            }
            other => panic!("no step {name} {other}"),
        }
    }

    fn named_endpoint_step(&mut self, name: &str, words: Words) {
        let server = self
            .endpoints
            .get_mut(name)
            .unwrap_or_else(|| panic!("no step {name} {}", words.first));
        match words.first {
            "gets" if words.rest == CONNECTION_END => server.expect_connection_end(),
            "gets" => {
                let command = server.next_message();
                assert!(
                    matches_pattern(words.rest, &command),
                    "{name} gets {command:.200}"
                );
            }
            "told-at-most" => {
                let told = server.last_message().and_then(time_told);
                let most = words.number();
                assert!(
                    told.is_some_and(|told| told <= most),
                    "{name} is told {told:?}"
                );
            }
            "answers" => server.write(&unescape(words.rest)),
            "ends" => server.close_current(),
            "vanishes" => server.shut_down(),
            "waits" => assert!(server.is_idle(), "{name} got something"),
            "turns" => server.select_connection_of(words.rest),
            "links" => {
                let connections = server.connections.lock().expect("a lock").len();
                assert_eq!(connections.to_string(), words.rest);
            }
            other => panic!("no step {name} {other}"),
        }
    }
}

/// The time in milliseconds that a command tells its endpoint.
fn time_told(command: &str) -> Option<u64> {
    let (_, value) = command.split_once(",d=")?;
    let end = value.find(|letter: char| !letter.is_ascii_digit());
    value[..end.unwrap_or(value.len())].parse().ok()
}
