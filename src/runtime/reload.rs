//! Watches the operators' settings file, so that changed disruption budgets and admission settings take effect without
//! a restart.

use super::Message;
use crate::effects::Input;
use crate::settings::Settings;
use log::{error, info};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc;

/// Interval at which the file's modification time is checked.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Starts a task that reloads the file whenever its modification time changes. If the file cannot be used, the settings
/// in force stay unchanged.
pub fn watch(file: PathBuf, settings: Settings, messages: mpsc::Sender<Message>) {
    tokio::spawn(async move {
        let mut last_modified = modified_at(&file);
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let modified = modified_at(&file);
            if modified == last_modified {
                continue;
            }
            last_modified = modified;
            match settings.reload(&file) {
                Ok((policy, admission)) => {
                    info!("disruption budgets and settings of admission read again from {}", file.display());
                    let _ = messages.send(Message::Input(Input::DisruptionPolicyChanged(Box::new(policy)))).await;
                    let _ = messages.send(Message::Input(Input::AdmissionPolicyChanged(Box::new(admission)))).await;
                }
                Err(e) => error!("disruption budgets and settings of admission stay as they are: {e}"),
            }
        }
    });
}

fn modified_at(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|metadata| metadata.modified()).ok()
}
