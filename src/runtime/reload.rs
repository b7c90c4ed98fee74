//! Follows the operators' file, so that other disruption budgets and settings of admission come into force without a restart.

use super::Message;
use crate::effects::Input;
use crate::settings::Settings;
use log::{error, info};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc;

/// How often the file is looked at.
const LOOK_EVERY: Duration = Duration::from_secs(5);

/// Looks at the file from time to time. One that cannot be used leaves everything as it is.
pub fn follow(file: PathBuf, settings: Settings, tell: mpsc::Sender<Message>) {
    tokio::spawn(async move {
        let mut seen = changed_at(&file);
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let changed = changed_at(&file);
            if changed == seen {
                continue;
            }
            seen = changed;
            match settings.reload(&file) {
                Ok((policy, admission)) => {
                    info!("disruption budgets and settings of admission read again from {}", file.display());
                    let _ = tell.send(Message::Input(Input::DisruptionPolicyChanged(Box::new(policy)))).await;
                    let _ = tell.send(Message::Input(Input::AdmissionPolicyChanged(Box::new(admission)))).await;
                }
                Err(e) => error!("disruption budgets and settings of admission stay as they are: {e}"),
            }
        }
    });
}

fn changed_at(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|data| data.modified()).ok()
}
