//! Reads the operator's file at the start and at each reload, and passes its parts to the release gate, the recorder
//! and the watches on other services.
//!
//! A file is applied whole or not at all; one that cannot be used changes nothing. What the rules permit is decided by
//! the gate, not here.
use std::cell::RefCell;
use std::fmt;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use lilacgate_operator_config::{KnownNames, OperatorConfig, Releases, Timeline};
use lilacgate_releases::gate::Gate;
use lilacgate_start_settings::{Settings, SettingsError};

use crate::error::{OperatorFileError, StartError};
use crate::event_loop::EventLoop;
use crate::file_writer::replace_file;
use crate::log::{Quoted, info};
use crate::recorder::class_names;
use crate::release_gate::ReleaseRules;
use crate::watched_services::WatchedServices;

/// What an operator's file sets for this agent; empty without a file.
#[derive(Default)]
struct OperatorSettings {
    rules: Option<ReleaseRules>,
    timeline: Option<Timeline>,
}

impl OperatorSettings {
    fn releases(&self) -> Option<&Releases> {
        self.rules.as_ref().map(|rules| &rules.releases)
    }
}

/// What the operator's file provides at the start of the agent.
pub(crate) struct OperatorStart {
    /// The file, which is read again at each reload.
    pub(crate) file: OperatorFile,
    /// The release gate with the rules in the file; `None` without rules.
    pub(crate) gate: Option<Gate>,
    /// Which timelines are recorded; `None` without a `<timeline>` in the file.
    pub(crate) timeline: Option<Timeline>,
}

/// The operator's file of a running agent.
pub(crate) struct OperatorFile {
    path: Option<PathBuf>,
    /// The name of this agent.
    agent: String,
    /// The zones and request classes of the start settings, which the file may refer to.
    known: KnownNames,
    event_loop: Rc<EventLoop>,
    /// The file to which the gate's state is written on request.
    state_path: RefCell<Option<PathBuf>>,
    services: WatchedServices,
}

impl fmt::Debug for OperatorFile {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("OperatorFile")
            .field("path", &self.path)
            .field("agent", &self.agent)
            .finish_non_exhaustive()
    }
}

impl OperatorFile {
    /// Reads the file, if there is one, and starts the watches on the services in it.
    ///
    /// # Errors
    /// Fails if a start setting or the file cannot be used.
    pub(crate) fn open(
        path: Option<PathBuf>,
        agent: &str,
        settings: &Settings,
        event_loop: Rc<EventLoop>,
    ) -> Result<OperatorStart, StartError> {
        let known = known_names(settings)?;
        let connect_timeout = settings.period("limits.connect-timeout")?;
        let file = OperatorFile {
            path,
            agent: agent.to_owned(),
            known,
            event_loop: event_loop.clone(),
            state_path: RefCell::default(),
            services: WatchedServices::new(event_loop, connect_timeout),
        };
        let settings = file.read()?;
        let gate = match &settings.rules {
            Some(rules) => Some(file.gate(rules)?),
            None => None,
        };
        file.apply_releases(settings.releases());
        Ok(OperatorStart {
            file,
            gate,
            timeline: settings.timeline,
        })
    }

    fn gate(&self, rules: &ReleaseRules) -> Result<Gate, OperatorFileError> {
        let now = self.event_loop.clock.now();
        Gate::new(rules.releases.rules.clone(), Some(rules.tenant), now)
            .map_err(|_| OperatorFileError::CircularDependency)
    }

    /// Reads the settings for this agent; without a file there are none.
    fn read(&self) -> Result<OperatorSettings, OperatorFileError> {
        match &self.path {
            Some(path) => self.read_from(path),
            None => Ok(OperatorSettings::default()),
        }
    }

    fn read_from(&self, path: &Path) -> Result<OperatorSettings, OperatorFileError> {
        let operator = lilacgate_operator_config::load(path, &self.known);
        let OperatorConfig {
            places,
            releases,
            timeline,
        } = operator.map_err(|faults| OperatorFileError::Faults {
            path: path.to_owned(),
            faults,
        })?;
        let rules = match releases {
            Some(releases) => {
                let tenant = places.tenant_of(&self.agent).ok_or_else(|| {
                    OperatorFileError::UnknownAgent {
                        path: path.to_owned(),
                        agent: self.agent.clone(),
                    }
                })?;
                Some(ReleaseRules { releases, tenant })
            }
            None => None,
        };
        Ok(OperatorSettings { rules, timeline })
    }

    /// Reads the file again and applies it; one that cannot be used is logged and changes nothing.
    pub(crate) fn reload(&self) {
        let settings = match self.read() {
            Ok(settings) => settings,
            Err(error) => {
                for message in error.messages() {
                    info!("reload_failed file=operator error={}", Quoted(message));
                }
                return;
            }
        };
        if self.path.is_some() {
            info!("reload_completed file=operator");
        }
        let releases = settings.releases().cloned();
        self.event_loop.enqueue(move |router| {
            router.apply_rules(settings.rules);
            router
                .recorder
                .apply_settings(router.now, settings.timeline);
        });
        self.apply_releases(releases.as_ref());
    }

    /// Applies which services are watched and where the gate's state is written.
    fn apply_releases(&self, releases: Option<&Releases>) {
        let state_path = releases.and_then(|releases| releases.state_path.clone());
        self.state_path.replace(state_path);
        self.services.apply(releases);
    }

    /// Writes the timelines and the gate's state to the files that the operator's file names, without holding up the
    /// event loop.
    pub(crate) fn write_state(&self) {
        self.event_loop
            .enqueue(|router| router.recorder.dump(router.now));
        let Some(path) = self.state_path.borrow().clone() else {
            return;
        };
        let agent = self.agent.clone();
        self.event_loop.enqueue(move |router| {
            if let Some(state) = router.gate_state(&agent) {
                replace_file("release_state", path, state.into_bytes());
            }
        });
    }
}

/// The zones and request classes to which an operator's file may refer, in the order of their indexes.
fn known_names(settings: &Settings) -> Result<KnownNames, SettingsError> {
    let products = class_names(settings)?;
    Ok(KnownNames {
        zones: settings.names("zones")?,
        products,
    })
}
