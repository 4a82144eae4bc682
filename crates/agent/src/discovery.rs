//! The client of discovery: fetches the endpoint list over HTTP, or watches it for changes.
//!
//! Each message is applied whole or not at all, so a malformed one never replaces the last good list. When a watch
//! ends, a new one is opened at a bounded rate; a watch on which no heartbeat arrives in time is closed.
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use futures_lite::{FutureExt, Stream, StreamExt, pin};
use lilacgate_decision::{EndpointId, EventHandler as _, ListUpdate};
use lilacgate_start_settings::{Settings, SettingsError};

use crate::endpoint_list::{EndpointListReader, ListReceipt};
use crate::endpoint_start_times::ListProvenance;
use crate::event_loop::EventLoop;
use crate::http_response::{HttpResponseParser, MAX_LINE_BYTES, WatchResponseParser};
use crate::json::Json;
use crate::log::{ConnectionEnd, Count, count, info};
use crate::loop_monitor::LoopStep;
use crate::outbound::EndpointListSource;
use crate::pacing::{CallEnd, Pacing};
use crate::transport::{InputReader, RingBuffer, ServiceAddress, connect, items, with_timeout};
use crate::upstream::UpstreamPool;

/// While nothing changes, discovery sends an empty line on a watch this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// A watch on which nothing arrives for this long is closed.
const HEARTBEAT_TIMEOUT: Duration = HEARTBEAT_INTERVAL.saturating_mul(5).checked_div(4).unwrap();
/// The HTTP path of the endpoint list.
const LIST_PATH: &str = "/catalog/members";

/// Where an endpoint list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOrigin {
    /// The list was saved in the start file.
    StartFile,
    /// The list was received from discovery.
    Discovery,
}

/// A message, or `None` for a heartbeat, with the time at which its first byte arrived.
type MessageOrHeartbeat = Result<(Instant, Option<Json>), ConnectionEnd>;

/// How a watch ended.
struct WatchEnd {
    end: ConnectionEnd,
    /// How long to wait before the next watch.
    pause: Duration,
}

/// The client of discovery.
pub struct Discovery {
    event_loop: Rc<EventLoop>,
    upstream: Rc<UpstreamPool>,
    /// Where discovery listens; a reload of the start file can change it.
    pub address: ServiceAddress,
    connect_timeout: Duration,
    /// Whether the decision engine requests the list and its watches; otherwise the list is watched all the time.
    is_requested_by_engine: bool,
    /// The longest message that is accepted, in bytes.
    max_message_bytes: usize,
    endpoint_list: RefCell<EndpointListReader>,
    /// When discovery last sent anything. It had announced everything that had changed by then.
    last_contact: Cell<Option<Duration>>,
    /// Carries whether the decision engine wants the list to be watched.
    watch_sender: Sender<bool>,
    watch_receiver: Receiver<bool>,
    pacing: RefCell<Pacing>,
}

impl fmt::Debug for Discovery {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Discovery")
            .field("address", &self.address.get())
            .field("is_requested_by_engine", &self.is_requested_by_engine)
            .finish_non_exhaustive()
    }
}

impl Discovery {
    /// Creates a client of the discovery that listens at `address`, for messages of at most `max_message_bytes`.
    ///
    /// # Errors
    /// Fails if a setting is missing or cannot be used.
    pub fn new(
        event_loop: Rc<EventLoop>,
        upstream: Rc<UpstreamPool>,
        address: SocketAddr,
        settings: &Settings,
        max_message_bytes: usize,
    ) -> Result<Rc<Self>, SettingsError> {
        let endpoint_list = RefCell::new(EndpointListReader::new(settings)?);
        let connect_timeout = settings.period("limits.connect-timeout")?;
        let (watch_sender, watch_receiver) = async_channel::unbounded();
        Ok(Rc::new(Discovery {
            event_loop,
            upstream,
            address: ServiceAddress::new(address),
            connect_timeout,
            is_requested_by_engine: settings.endpoint_list_on_request()?,
            max_message_bytes,
            endpoint_list,
            last_contact: Cell::default(),
            watch_sender,
            watch_receiver,
            // A server that has begun a message is expected to go on sending it within the time allowed for connecting.
            pacing: RefCell::new(Pacing::new(connect_timeout, HEARTBEAT_TIMEOUT)),
        }))
    }

    /// Passes a full list or changes on to the connection pool and the decision engine. Returns `None`, and passes
    /// nothing on, if any part of the message cannot be read.
    pub fn receive(&self, message: &Json, origin: ListOrigin) -> Option<()> {
        let event_loop = &self.event_loop;
        let mut on_new_endpoint = |id: EndpointId, name: &str| {
            let name = name.to_owned();
            event_loop.enqueue(move |router| router.recorder.add_endpoint_name(id, &name));
        };
        let now = event_loop.clock.now();
        let provenance = match origin {
            ListOrigin::StartFile => ListProvenance::Saved,
            ListOrigin::Discovery => ListProvenance::Discovery {
                since_last_contact: self.last_contact.get().map(|last| now.saturating_sub(last)),
            },
        };
        let receipt = ListReceipt { now, provenance };
        let update =
            self.endpoint_list
                .borrow_mut()
                .read(message, receipt, &mut on_new_endpoint)?;
        if origin == ListOrigin::Discovery {
            self.last_contact.set(Some(now));
        }
        if update.is_full {
            self.upstream.retain(|id| update.contains(*id));
        }
        for listed in &update.endpoints {
            self.upstream
                .update_endpoint(&listed.endpoint, listed.address);
        }
        count(Count::EndpointListUpdates);
        let kind = match (origin, update.is_full) {
            (ListOrigin::StartFile, _) => ListUpdate::Cached,
            (ListOrigin::Discovery, true) => ListUpdate::Full,
            (ListOrigin::Discovery, false) => ListUpdate::Delta,
        };
        self.event_loop.enqueue(move |router| {
            let mut endpoints = update.endpoints.iter().map(|listed| listed.endpoint);
            router.on_endpoints(kind, &mut endpoints);
        });
        Some(())
    }

    fn report_failure(&self, end: ConnectionEnd) {
        info!(
            "connection_closed peer=discovery address={} reason={end}",
            self.address.get()
        );
        if self.is_requested_by_engine {
            self.event_loop
                .enqueue(|router| router.on_endpoints(ListUpdate::Failed, &mut std::iter::empty()));
        }
    }

    /// Watches the list until the agent ends: all the time, or only while the decision engine wants it.
    pub async fn run(self: Rc<Self>) {
        let mut is_wanted = !self.is_requested_by_engine;
        loop {
            while !is_wanted {
                is_wanted = self.watch_receiver.recv().await.unwrap_or(false);
            }
            let WatchEnd { end, pause } = self.watch_until_closed().await;
            let mut has_address_changed = end == ConnectionEnd::AddressChanged;
            if !has_address_changed {
                is_wanted = !self.is_requested_by_engine;
                has_address_changed = is_wanted && self.address_changes_within(pause).await;
            }
            if has_address_changed {
                // Another discovery server may number its versions differently, so the full list is requested at once.
                self.endpoint_list.borrow_mut().forget_version();
                self.pacing.borrow_mut().reset();
            }
        }
    }

    /// Waits for `pause`, or until the address of discovery changes; returns whether it has changed.
    async fn address_changes_within(&self, pause: Duration) -> bool {
        with_timeout(pause, self.address.changed::<()>()).await
            == Err(ConnectionEnd::AddressChanged)
    }

    /// Opens one watch and receives on it until it ends.
    async fn watch_until_closed(&self) -> WatchEnd {
        let address = self.address.get();
        let has_received = Cell::new(false);
        let began = Instant::now();
        let version = self.endpoint_list.borrow().version();
        let path = format!("{LIST_PATH}?follow=1&since={version}");
        let watch = self.watch_list(&path, &has_received);
        let no_longer_wanted = async {
            while self.watch_receiver.recv().await.unwrap_or(true) {}
            Err(ConnectionEnd::Cancelled)
        };
        let Err(end) = watch.or(no_longer_wanted).or(self.address.changed()).await;
        if end == ConnectionEnd::AddressChanged {
            info!("connection_closed peer=discovery address={address} reason={end}");
        } else {
            self.report_failure(end);
        }
        let call_end = match end {
            _ if has_received.get() => CallEnd::Answered,
            ConnectionEnd::Stalled => CallEnd::Stalled,
            _ => CallEnd::Unanswered,
        };
        let pause = self
            .pacing
            .borrow_mut()
            .pause_after(call_end, began.elapsed());
        WatchEnd { end, pause }
    }

    /// Receives and applies messages until the connection ends.
    async fn watch_list(
        &self,
        path: &str,
        has_received: &Cell<bool>,
    ) -> Result<Infallible, ConnectionEnd> {
        let messages = self.call(path).await?;
        pin!(messages);
        loop {
            let message = next_message(&mut messages, || self.note_contact()).await?;
            has_received.set(true);
            self.receive_from_discovery(&message)?;
        }
    }

    /// Fetches the full list once.
    async fn fetch_list(&self) -> Result<(), ConnectionEnd> {
        let messages = self.call(LIST_PATH).await?;
        pin!(messages);
        let message = next_message(&mut messages, || {}).await?;
        self.receive_from_discovery(&message)
    }

    /// Records that a watch is alive: everything that has changed by now has been announced on it.
    fn note_contact(&self) {
        if self.last_contact.get().is_some() {
            self.last_contact.set(Some(self.event_loop.clock.now()));
        }
    }

    /// Sends a request; returns the messages and heartbeats of the response.
    async fn call(
        &self,
        path: &str,
    ) -> Result<impl Stream<Item = MessageOrHeartbeat> + use<>, ConnectionEnd> {
        let address = self.address.get();
        let stream = Rc::new(connect(address, self.connect_timeout).await?);
        let mut request = RingBuffer::new(MAX_LINE_BYTES);
        request.append(
            format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n")
                .as_bytes(),
        );
        with_timeout(self.connect_timeout, request.flush(&stream)).await?;
        let parser = WatchResponseParser(HttpResponseParser::new(self.max_message_bytes));
        let reader = InputReader::new(parser, self.max_message_bytes, HEARTBEAT_TIMEOUT);
        let stall_timeout = self.pacing.borrow().stall_timeout();
        Ok(items(stream, reader.with_stall_timeout(stall_timeout)))
    }

    fn receive_from_discovery(&self, message: &Json) -> Result<(), ConnectionEnd> {
        let receive = || self.receive(message, ListOrigin::Discovery);
        let received = self
            .event_loop
            .monitor
            .measure(LoopStep::EndpointList, receive);
        if received.is_some() {
            return Ok(());
        }
        // The changes in this message are lost, so the next watch requests the full list.
        self.endpoint_list.borrow_mut().forget_version();
        Err(ConnectionEnd::Malformed)
    }
}

/// Returns the next message, and calls `on_heartbeat` for each heartbeat that arrives before it.
async fn next_message(
    messages: &mut (impl Stream<Item = MessageOrHeartbeat> + Unpin),
    on_heartbeat: impl Fn(),
) -> Result<Json, ConnectionEnd> {
    loop {
        let next = async { messages.next().await.unwrap_or(Err(ConnectionEnd::Closed)) };
        match with_timeout(HEARTBEAT_TIMEOUT, next).await? {
            (_, Some(message)) => return Ok(message),
            (_, None) => on_heartbeat(),
        }
    }
}

impl EndpointListSource for Discovery {
    fn watch(&self, on: bool) {
        self.watch_sender.try_send(on).ok();
    }

    fn fetch(self: Rc<Self>) {
        let discovery = self.clone();
        self.event_loop.spawn(async move {
            match discovery.fetch_list().await {
                Ok(()) => {
                    let address = discovery.address.get();
                    info!(
                        "connection_closed peer=discovery address={address} reason={}",
                        ConnectionEnd::Closed
                    );
                }
                Err(end) => discovery.report_failure(end),
            }
        });
    }
}
