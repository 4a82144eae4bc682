//! Owns the clients' connections: their commands in, their answers out, in order, each once and whole. It must never
//! answer for a txn by itself once the hub has taken it, nor let one client's trouble reach another.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{FutureExt, StreamExt, pin};
use lilacgate::port::*;
use lilacgate_start::Paths;

use crate::appliances::Appliances;
use crate::hub::{Answer, Hub, Wording};
use crate::json;
use crate::log::{Count, End, count, say};
use crate::resp;
use crate::ring::{Ring, items};

/// An answer that is due on a connection.
enum Due {
    Owed(TxnId),
    Ready(Vec<u8>),
}

/// What one connection still owes, in the order of its commands.
struct Counter {
    due: RefCell<VecDeque<Due>>,
    /// The number of the first of them.
    first: Cell<u64>,
    bell: (Sender<()>, Receiver<()>),
}

impl Counter {
    fn put(&self, due: Due) {
        self.due.borrow_mut().push_back(due);
        self.bell.0.try_send(()).ok();
    }

    fn ready(&self, place: u64, bytes: Vec<u8>) {
        let at = place.checked_sub(self.first.get()).and_then(|at| usize::try_from(at).ok());
        let mut due = self.due.borrow_mut();
        if let Some(due) = at.and_then(|at| due.get_mut(at)) {
            *due = Due::Ready(bytes);
            self.bell.0.try_send(()).ok();
        }
    }

    fn take(&self) -> Option<Vec<u8>> {
        let mut due = self.due.borrow_mut();
        let ready = due.front_mut().and_then(|due| match due {
            Due::Ready(bytes) => Some(std::mem::take(bytes)),
            Due::Owed(_) => None,
        })?;
        due.pop_front();
        self.first.set(self.first.get() + 1);
        Some(ready)
    }

    /// The next answer, once it is ready.
    async fn next(&self) -> Vec<u8> {
        loop {
            if let Some(ready) = self.take() {
                return ready;
            }
            self.bell.1.recv().await.ok();
        }
    }
}

/// A product, as clients name it.
struct Named {
    name: String,
    product: Product,
    repeat: Repeat,
}

pub struct Clients {
    hub: Rc<Hub>,
    appliances: Rc<Appliances>,
    products: Vec<Named>,
    /// Whether a client may be told when to come back.
    advises: bool,
    most: usize,
    open: Cell<usize>,
}

impl Clients {
    pub fn new(
        hub: Rc<Hub>, appliances: Rc<Appliances>, told: &Paths, most: usize,
    ) -> Result<Rc<Self>, String> {
        let named = |i: usize| {
            let name = told.text(&format!("profiles.{i}.name"))?.to_owned();
            let repeat = told.repeat(i)?;
            Ok(Named { name, product: Product(i as u8), repeat })
        };
        let count: u8 = told.num("profiles.count")?;
        let products = (0..usize::from(count)).map(named).collect::<Result<_, String>>()?;
        let advises = told.num("limits.retry-after")?;
        Ok(Rc::new(Clients { hub, appliances, products, advises, most, open: Cell::new(0) }))
    }

    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        let incoming = listener.incoming();
        pin!(incoming);
        while let Some(client) = incoming.next().await {
            match client {
                Ok(stream) => {
                    count(Count::ClientsIn);
                    self.open.set(self.open.get() + 1);
                    self.hub.spawn(self.clone().serve(stream));
                }
                Err(fault) => {
                    say!("no client accepted: {}", End::from(fault));
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
            while self.open.get() >= self.most {
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: Async<TcpStream>) {
        stream.get_ref().set_nodelay(true).ok();
        let who = stream.get_ref().peer_addr().map_or_else(|_| "a client".into(), |at| at.to_string());
        let stream = Rc::new(stream);
        let (due, first) = Default::default();
        let counter = Rc::new(Counter { due, first, bell: async_channel::bounded(1) });
        let answers = async {
            let mut out = Ring::new(resp::MESSAGE);
            loop {
                out.put(&counter.next().await);
                if let Err(end) = out.flush(&stream).await {
                    return end;
                }
            }
        };
        let end = self.read(&stream, &counter).or(answers).await;
        for due in counter.due.take() {
            if let Due::Owed(id) = due {
                self.hub.client_left(id);
            }
        }
        self.open.set(self.open.get() - 1);
        count(Count::ClientsOut);
        say!("client {who} ended: {end}");
    }

    async fn read(&self, stream: &Rc<Async<TcpStream>>, counter: &Rc<Counter>) -> End {
        let commands = items(stream.clone(), resp::Commands::default(), resp::MESSAGE);
        pin!(commands);
        loop {
            match commands.next().await {
                Some(Ok(command)) => {
                    if let Err(why) = self.command(command, counter) {
                        count(Count::CommandsRefused);
                        counter.put(Due::Ready(format!("-ERR {why}\r\n").into_bytes()));
                    }
                }
                Some(Err(end)) => return end,
                None => return End::Closed,
            }
        }
    }

    fn command(&self, command: Vec<Vec<u8>>, counter: &Rc<Counter>) -> Result<(), String> {
        let arrived = self.hub.clock.now();
        let writes = match command[0].to_ascii_uppercase().as_slice() {
            b"PING" => {
                let ready = self.appliances.is_known();
                counter.put(Due::Ready(if ready {
                    b"+PONG\r\n".into()
                } else {
                    b"-ERR not ready\r\n".into()
                }));
                return Ok(());
            }
            b"SVC.QUERY" => false,
            b"SVC.SUBMIT" => true,
            other => {
                return Err(format!("unknown command {}", String::from_utf8_lossy(other).escape_debug()));
            }
        };
        let [_, key, id, pairs, ..] = command.as_slice() else { return Err("too few arguments".into()) };
        if id.is_empty() {
            return Err("no id".into());
        }
        let text = std::str::from_utf8(pairs).map_err(|_| "values are not UTF-8")?;
        let value = |name: &str| text.split(',').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        let class = value("c").ok_or("no class")?;
        let named =
            self.products.iter().find(|named| named.name == json::word(class)).ok_or("unknown class")?;
        if writes == (named.repeat == Repeat::InquiryLike) {
            return Err(format!("{class} takes the other command"));
        }
        let whole = |name| value(name).map(|value| value.parse::<u32>().map_err(|_| format!("bad {name}")));
        let wait = whole("d").ok_or("no d")??;
        let hint = whole("h").transpose()?;
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        let txn = Txn {
            product: named.product,
            tenant: Tenant(0),
            mark: Some(Mark(hasher.finish())).filter(|_| !key.is_empty()),
            expiry: arrived + Duration::from_millis(wait.into()),
            hint: hint.map(|micros| Duration::from_micros(micros.into())),
            repeated: value("r") == Some("1"),
        };
        let place = counter.first.get() + counter.due.borrow().len() as u64;
        let (to, advises) = (counter.clone(), self.advises);
        let txn = self.hub.take(txn, wording(command), move |answer| {
            to.ready(
                place,
                match answer {
                    Answer::Settled(value) => resp::bulk(&value),
                    Answer::Declined(wait) if advises && !wait.is_zero() => {
                        format!("-BUSY {}\r\n", wait.as_millis()).into_bytes()
                    }
                    Answer::Declined(_) => b"-BUSY\r\n".to_vec(),
                    Answer::Voided => b"-ERR failed\r\n".to_vec(),
                },
            );
        });
        counter.put(Due::Owed(txn));
        Ok(())
    }
}

/// The command as it came, but for how long its answer is waited for.
fn wording(command: Vec<Vec<u8>>) -> Wording {
    Rc::new(move |wait| {
        let pairs = String::from_utf8_lossy(&command[3]);
        let put =
            |pair: &str| if pair.starts_with("d=") { format!("d={}", wait.as_millis()) } else { pair.into() };
        let pairs = pairs.split(',').map(put).collect::<Vec<String>>().join(",");
        let part = |(i, part)| if i == 3 { pairs.as_bytes() } else { Vec::as_slice(part) };
        resp::command(command.iter().enumerate().map(part))
    })
}
