//! Reload of the settings file, on SIGHUP and when it has changed without a
//! signal. New settings that are refused leave the old ones in force.

use std::path::PathBuf;
use std::thread::Builder;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};

use crate::settings::{self, DaemonSettings};

/// Time between two looks at the file: a change without a signal is in force
/// within this time.
const LOOK_PERIOD: Duration = Duration::from_secs(2);

/// The settings file changed, as a signal says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReloadSignal;

/// Where new settings come from.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    text: String,
    signals: Receiver<ReloadSignal>,
}

impl SettingsFile {
    /// The file at `path`, which was read as `text` at the start.
    pub fn new(path: PathBuf, text: String, signals: Receiver<ReloadSignal>) -> Self {
        Self {
            path,
            text,
            signals,
        }
    }

    /// Starts the thread that hands new settings to `apply`.
    pub fn watch(
        mut self,
        mut apply: impl FnMut(&DaemonSettings) + Send + 'static,
    ) -> std::io::Result<()> {
        Builder::new().name("settings".to_owned()).spawn(move || {
            loop {
                let signalled = match self.signals.recv_timeout(LOOK_PERIOD) {
                    Ok(_) => true,
                    Err(RecvTimeoutError::Timeout) => false,
                    Err(RecvTimeoutError::Disconnected) => return,
                };
                self.look(signalled, &mut apply);
            }
        })?;
        Ok(())
    }

    fn look(&mut self, signalled: bool, apply: &mut impl FnMut(&DaemonSettings)) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                log::warn!(target: "process", cause:% = error; "settings unreadable");
                return;
            }
        };
        let changed = text != self.text;
        if !changed {
            if signalled {
                log::info!(target: "process", changed = false; "reloaded");
            }
            return;
        }
        // The same refused file is reported once.
        self.text = text;
        match settings::parse_settings(&self.text) {
            Ok((settings, _)) => {
                apply(&settings);
                log::info!(
                    target: "process",
                    signalled = signalled, changed = true, seeds = settings.seeds().len();
                    "reloaded"
                );
            }
            Err(error) => {
                log::error!(target: "process", cause:% = error; "settings refused");
            }
        }
    }
}
