//! Owns stand-ins that listen and say nothing by themselves: what came is queued for the script, which answers. It
//! knows how each protocol frames its messages, not what they mean.
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Longer than any wait of an agent's in scenarios; only a failing one takes so long.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A line without its end; nothing at the end of the stream.
pub fn line(from: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    from.read_until(b'\n', &mut line).ok().filter(|n| *n > 0)?;
    Some(
        String::from_utf8_lossy(&line)
            .trim_end_matches(['\r', '\n'])
            .to_owned(),
    )
}

/// A command or an answer, shown as a text.
pub fn resp(from: &mut impl BufRead) -> Option<String> {
    let head = line(from)?;
    if let Some(count) = head.strip_prefix('*') {
        let parts: Option<Vec<String>> = (0..count.parse().ok()?).map(|_| resp(from)).collect();
        return Some(
            parts?
                .iter()
                .map(|part| part.trim_start_matches('$'))
                .collect::<Vec<_>>()
                .join(" "),
        );
    }
    if let Some(len) = head.strip_prefix('$') {
        let Ok(len) = len.parse::<usize>() else {
            return Some("$-1".into());
        };
        let mut value = vec![0; len + 2];
        from.read_exact(&mut value).ok()?;
        return Some(format!("${}", String::from_utf8_lossy(&value[..len])));
    }
    Some(head)
}

/// A command in the form of the wire.
pub fn command(words: &[&str]) -> String {
    let bulk = |word: &&str| format!("${}\r\n{word}\r\n", word.len());
    format!(
        "*{}\r\n{}",
        words.len(),
        words.iter().map(bulk).collect::<String>()
    )
}

/// A head of HTTP: its first line.
pub fn head(from: &mut impl BufRead) -> Option<String> {
    let first = line(from)?;
    while !line(from)?.is_empty() {}
    Some(first)
}

/// What a connection's end is said to be.
pub const THE_END: &str = "the end";

/// Which connection brought something, and what.
pub type Said = (usize, String);

/// A stand-in that listens: what came, and every connection.
pub struct Post {
    pub at: SocketAddr,
    pub said: Receiver<Said>,
    pub conns: Arc<Mutex<Vec<TcpStream>>>,
    listening: Arc<Mutex<bool>>,
    last: usize,
    /// What came while the end of another connection was waited for.
    kept: VecDeque<Said>,
    /// Which connection brought which command.
    came: Vec<Said>,
    life: Option<thread::JoinHandle<()>>,
}

impl Post {
    /// `hello`, then `sign` again and again, is written to connections that have said `when`.
    pub fn new(
        read: fn(&mut BufReader<TcpStream>) -> Option<String>,
        when: &'static str,
        hello: &'static [u8],
        sign: &'static [u8],
    ) -> Post {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = listener.local_addr().expect("its address");
        let (say, said) = channel::<Said>();
        let conns = Arc::<Mutex<Vec<TcpStream>>>::default();
        let listening = Arc::new(Mutex::new(true));
        let (all, up) = (conns.clone(), listening.clone());
        let life = thread::spawn(move || {
            for conn in listener.incoming().flatten() {
                if !*up.lock().expect("a lock") {
                    return;
                }
                let mut all = all.lock().expect("a lock");
                let number = all.len();
                all.push(conn.try_clone().expect("a second handle"));
                drop(all);
                let say = say.clone();
                thread::spawn(move || serve(conn, number, read, when, hello, sign, say));
            }
        });
        Post {
            at,
            said,
            conns,
            listening,
            last: 0,
            kept: VecDeque::new(),
            came: Vec::new(),
            life: Some(life),
        }
    }

    /// What came next, from whichever connection.
    ///
    /// # Panics
    /// Where nothing comes: the script waits for what never happens.
    pub fn heard(&mut self) -> String {
        let (number, said) = self.next();
        self.last = number;
        self.came.push((number, said.clone()));
        said
    }

    /// Waits for a connection's end. What another connection brings before stays for the next call: two connections
    /// have no common order.
    ///
    /// # Panics
    /// Where none ends.
    pub fn heard_end(&mut self) {
        let mut others = VecDeque::new();
        loop {
            match self.next() {
                (number, said) if said == THE_END => {
                    assert!(
                        others.iter().all(|(other, _)| *other != number),
                        "it brought more before: {others:?}"
                    );
                    break self.last = number;
                }
                other => others.push_back(other),
            }
        }
        self.kept.extend(others);
    }

    /// Whether nothing has come.
    pub fn is_quiet(&self) -> bool {
        self.kept.is_empty() && self.said.try_recv().is_err()
    }

    fn next(&mut self) -> Said {
        let kept = self.kept.pop_front();
        kept.unwrap_or_else(|| self.said.recv_timeout(PATIENCE).expect("something comes"))
    }

    /// Goes back to the connection that brought a command with this id.
    pub fn turn(&mut self, id: &str) {
        let found = self
            .came
            .iter()
            .rfind(|(_, said)| said.contains(&format!(" {id} ")));
        self.last = found.expect("it brought one").0;
    }

    pub fn write(&self, what: &[u8]) {
        self.write_to(self.last, what);
    }

    pub fn write_to(&self, number: usize, what: &[u8]) {
        let conns = self.conns.lock().expect("a lock");
        (&conns[number]).write_all(what).expect("it is written");
    }

    /// Ends the connection that spoke last.
    pub fn end(&self) {
        self.end_of(self.last);
    }

    pub fn end_of(&self, number: usize) {
        self.conns.lock().expect("a lock")[number]
            .shutdown(Shutdown::Both)
            .ok();
    }

    /// Stops listening, and breaks what is open.
    pub fn vanish(&mut self) {
        *self.listening.lock().expect("a lock") = false;
        TcpStream::connect(self.at).ok();
        self.life.take().map(|life| life.join().ok());
        self.conns
            .lock()
            .expect("a lock")
            .iter()
            .for_each(|conn| drop(conn.shutdown(Shutdown::Both)));
    }
}

fn serve(
    conn: TcpStream,
    number: usize,
    read: fn(&mut BufReader<TcpStream>) -> Option<String>,
    when: &str,
    hello: &[u8],
    sign: &'static [u8],
    say: Sender<Said>,
) {
    let mut from = BufReader::new(conn.try_clone().expect("a second handle"));
    while let Some(said) = read(&mut from) {
        if !when.is_empty() && said.contains(when) {
            (&conn).write_all(hello).ok();
            let conn = conn.try_clone().expect("a second handle");
            thread::spawn(move || {
                while (&conn).write_all(sign).is_ok() {
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
        if say.send((number, said)).is_err() {
            return;
        }
    }
    say.send((number, THE_END.into())).ok();
}

/// The head of a watch, and its sign of life.
pub const WATCH: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
pub const QUIET: &[u8] = b"1\r\n\n\r\n";
/// The answer to a listener, and a desk's sign of life.
pub const LISTENS: &[u8] = b"{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":true}\n";
pub const PING: &[u8] = b"{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";

/// A message of a watch.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// News as an object, and as a notification.
pub fn news(build: &str, stage: &str, state: &str, cap: &str) -> String {
    format!(
        r#"{{"Revision":{build},"Wave":{stage},"State":"{state}","MaxShare":{cap},"AgeMs":100}}"#
    )
}

pub fn rollout(news: &str) -> String {
    format!("{{\"jsonrpc\":\"2.0\",\"method\":\"ROLLOUT\",\"params\":{news}}}\n")
}

pub fn discovery() -> Post {
    Post::new(head, "follow", WATCH, QUIET)
}

/// One that says nothing by itself, not even that it lives.
pub fn silent_discovery() -> Post {
    Post::new(head, "", b"", b"")
}

/// Listeners and votes come to one address; they are told apart by what they say.
pub fn platform() -> (Post, Receiver<Said>) {
    let mut platform = Post::new(line, "listen", LISTENS, PING);
    let (both, (votes, voted), (listen, listeners)) = (platform.said, channel(), channel());
    thread::spawn(move || {
        for said in both.into_iter().filter(|said| said.1 != THE_END) {
            let to = if said.1.contains("listen") {
                &listen
            } else {
                &votes
            };
            if to.send(said).is_err() {
                return;
            }
        }
    });
    platform.said = voted;
    (platform, listeners)
}
