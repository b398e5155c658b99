//! Reload of the settings file, on SIGHUP or when the file has changed without a signal.
//! Invalid new settings are rejected and the previous ones stay in force. So do the previous
//! seeds if the new settings name none.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::thread::Builder;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};

use crate::settings;

/// Interval at which the file is checked for changes. A change without a signal takes
/// effect within this time.
const CHECK_PERIOD: Duration = Duration::from_secs(2);

/// A request by signal to reload the settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReloadSignal;

/// The settings file, and the reload signals for it.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    text: String,
    signals: Receiver<ReloadSignal>,
}

impl SettingsFile {
    /// Creates the state of the file at `path`, whose content at the start of the process
    /// was `text`.
    pub fn new(path: PathBuf, text: String, signals: Receiver<ReloadSignal>) -> Self {
        Self {
            path,
            text,
            signals,
        }
    }

    /// Starts the thread that calls `apply` with the seeds of new settings.
    pub fn watch(
        mut self,
        mut apply: impl FnMut(&[SocketAddrV4]) + Send + 'static,
    ) -> std::io::Result<()> {
        Builder::new().name("settings".to_owned()).spawn(move || {
            loop {
                let signalled = match self.signals.recv_timeout(CHECK_PERIOD) {
                    Ok(_) => true,
                    Err(RecvTimeoutError::Timeout) => false,
                    Err(RecvTimeoutError::Disconnected) => return,
                };
                self.check_file(signalled, &mut apply);
            }
        })?;
        Ok(())
    }

    // Reads the file; if its content changed, parses the new settings and applies their seeds.
    fn check_file(&mut self, signalled: bool, apply: &mut impl FnMut(&[SocketAddrV4])) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                log::warn!(target: "process", cause:% = error; "cannot read settings file");
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
        // Stored before parsing, so that invalid settings are reported only once.
        self.text = text;
        match settings::parse_settings(&self.text) {
            Ok((settings, _)) => {
                let seeds = settings.seeds();
                if !seeds.is_empty() {
                    apply(seeds);
                }
                log::info!(
                    target: "process",
                    signalled = signalled, changed = true, seeds = seeds.len();
                    "reloaded"
                );
            }
            Err(error) => {
                log::error!(
                    target: "process", cause:% = error;
                    "settings refused"
                );
            }
        }
    }
}
