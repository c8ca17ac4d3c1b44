//! Publishes a folder, once or after each change, and maintains its base file.

use std::path::Path;
use std::thread;
use std::time::Duration;

use mastichaven_core::platform::ObjectStore;

use crate::publish;
use crate::publish::Accepted;
use crate::publish::Base;
use crate::publish::FileContents;
use crate::publish::Options;
use crate::publish::PublishError;
use crate::publish::Result;

/// Interval between reads of a watched folder. Editors save several files one after the other, so a
/// change is published only after two consecutive reads agree.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Publishes a folder to the platform.
pub struct FolderPublisher<'a> {
    /// Platform that the folder is published to.
    pub store: &'a dyn ObjectStore,
    /// Folder of `.toml` files; its base file is in the same folder.
    pub folder: &'a Path,
    /// Whether a folder without any definition may be published.
    pub allow_empty: bool,
}

impl FolderPublisher<'_> {
    /// Publishes the folder once, against `base` or, if that is `None`, the base file of the
    /// folder.
    pub fn once(&self, base: Option<Base>) -> Result<Accepted> {
        let contents = publish::read_folder(self.folder)?;
        self.publish(&contents, base)
    }

    /// Publishes the folder now and after each change, and prints each result. `base` applies until
    /// the first success; then the base file is used.
    pub fn watch(&self, mut base: Option<Base>) -> ! {
        let mut published: Option<FileContents> = None;
        let mut previous: Option<FileContents> = None;
        loop {
            let current = publish::read_folder(self.folder).ok();
            if current.is_some() && current == previous && current != published {
                let contents = current.clone().unwrap_or_default();
                match self.publish(&contents, base.clone()) {
                    Ok(accepted) => {
                        println!("{accepted}");
                        base = None;
                        published = current.clone();
                    }
                    // A platform error may be gone at the next read and is retried. Any other error
                    // lasts until the folder changes.
                    Err(error @ PublishError::Platform(_)) => eprintln!("{error}"),
                    Err(error) => {
                        eprintln!("{error}");
                        published = current.clone();
                    }
                }
            }
            previous = current;
            thread::sleep(WATCH_INTERVAL);
        }
    }

    fn publish(&self, contents: &FileContents, base: Option<Base>) -> Result<Accepted> {
        let base = base.map_or_else(|| publish::read_base(self.folder), Ok)?;
        let options = Options { allow_empty: self.allow_empty, ..Options::new(base) };
        let accepted = publish::publish(self.store, contents, &options)?;
        publish::write_base(self.folder, accepted.generation, contents)?;
        Ok(accepted)
    }
}
