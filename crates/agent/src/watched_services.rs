//! Watches the release control planes of the other services that the operator's file names.
//!
//! Each watch has its own task and connection, so that a fault of one release control plane does not affect the watches
//! on others. The rate of messages from each is bounded.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use futures_lite::future;
use lilacgate_operator_config::{ControlPlane, Releases};
use lilacgate_releases::model::ServiceId;
use lilacgate_releases::service_status::ReleaseStatus;

use crate::event_loop::EventLoop;
use crate::release_watch::{
    MessageLimit, ReleaseUpdate, ReleaseWatch, ReleaseWatchListener, WatchedControlPlane,
};

/// How many messages per second the release control plane of a service may send. One heartbeat per second and a message
/// for each change are expected.
const MAX_MESSAGES_PER_SECOND: u32 = 64;

/// The watches on other services, by service name.
pub(crate) struct WatchedServices {
    event_loop: Rc<EventLoop>,
    connect_timeout: Duration,
    watches: RefCell<HashMap<String, ServiceWatch>>,
}

impl fmt::Debug for WatchedServices {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("WatchedServices")
            .field("connect_timeout", &self.connect_timeout)
            .finish_non_exhaustive()
    }
}

/// The watch on one service.
struct ServiceWatch {
    /// The id of the service by the current operator's file; a reload can change it.
    service: Rc<Cell<ServiceId>>,
    watch: Rc<ReleaseWatch>,
    /// Dropping this sender stops the watch.
    _stop: Sender<()>,
}

impl WatchedServices {
    /// Creates an empty set of watches.
    pub(crate) fn new(event_loop: Rc<EventLoop>, connect_timeout: Duration) -> Self {
        WatchedServices {
            event_loop,
            connect_timeout,
            watches: RefCell::default(),
        }
    }

    /// Starts and stops watches so that exactly the services in the operator's file are watched. A service that is
    /// already watched keeps its watch.
    pub(crate) fn apply(&self, releases: Option<&Releases>) {
        let wanted = releases.map(services_by_name).unwrap_or_default();
        let mut watches = self.watches.borrow_mut();
        watches.retain(|name, _| wanted.contains_key(name));
        for (name, control_plane) in wanted {
            match watches.get(&name) {
                Some(known) => {
                    known.service.set(control_plane.service);
                    known.watch.address.set(control_plane.address);
                }
                None => {
                    let watch = self.start(&name, control_plane.service, control_plane.address);
                    watches.insert(name, watch);
                }
            }
        }
    }

    fn start(&self, name: &str, service: ServiceId, address: SocketAddr) -> ServiceWatch {
        let service = Rc::new(Cell::new(service));
        let listener = Rc::new(ServiceListener {
            event_loop: self.event_loop.clone(),
            service: service.clone(),
        });
        let watch = ReleaseWatch::new(
            WatchedControlPlane::Service(name.to_owned()),
            address,
            self.connect_timeout,
            MessageLimit::PerSecond(MAX_MESSAGES_PER_SECOND),
            listener,
        );
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let task = watch.clone();
        self.event_loop.spawn(async move {
            let stopped = async {
                stopped.recv().await.ok();
            };
            future::or(task.run(), stopped).await;
        });
        ServiceWatch {
            service,
            watch,
            _stop: stop,
        }
    }
}

/// The services whose release control planes the operator's file names, by service name.
fn services_by_name(releases: &Releases) -> HashMap<String, ControlPlane> {
    let mut services = HashMap::new();
    for control_plane in &releases.control_planes {
        let name = releases
            .rules
            .service_name(control_plane.service)
            .to_owned();
        services.insert(name, *control_plane);
    }
    services
}

/// Queues the release updates and heartbeats of another service for the release gate.
struct ServiceListener {
    event_loop: Rc<EventLoop>,
    service: Rc<Cell<ServiceId>>,
}

impl ReleaseWatchListener for ServiceListener {
    fn on_release_update(&self, update: ReleaseUpdate) {
        let service = self.service.get();
        let now = self.event_loop.clock.now();
        let status = ReleaseStatus {
            build: update.build,
            stage: update.stage,
            phase: update.phase,
            since: now.saturating_sub(update.age),
        };
        self.event_loop
            .enqueue(move |router| router.on_service_status(service, status));
    }

    fn on_heartbeat(&self) {
        let service = self.service.get();
        self.event_loop
            .enqueue(move |router| router.on_service_heartbeat(service));
    }
}
