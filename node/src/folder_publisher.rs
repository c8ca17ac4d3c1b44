//! Publishing a folder with its base file, once or whenever it changes.

use std::path::Path;
use std::thread;
use std::time::Duration;

use mastichaven_core::platform::ObjectStore;

use crate::publish;
use crate::publish::Accepted;
use crate::publish::Base;
use crate::publish::Options;
use crate::publish::PublishError;
use crate::publish::Result;
use crate::publish::Texts;

/// How often a watched folder is read. An editor writes several files one after the other, so a
/// change is published only when two readings agree.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// A folder and the platform it is published to.
pub struct FolderPublisher<'a> {
    /// The platform.
    pub store: &'a dyn ObjectStore,
    /// The folder.
    pub folder: &'a Path,
    /// Whether a folder that declares nothing may be published.
    pub allow_empty: bool,
}

impl FolderPublisher<'_> {
    /// Publishes the folder once; without `base` the base file beside it is the base.
    pub fn once(&self, base: Option<Base>) -> Result<Accepted> {
        let texts = publish::read_folder(self.folder)?;
        self.publish(&texts, base)
    }

    /// Publishes now and after each change, and prints what became of it; never ends by itself.
    pub fn watch(&self, mut base: Option<Base>) -> ! {
        let mut published: Option<Texts> = None;
        let mut read: Option<Texts> = None;
        loop {
            let now = publish::read_folder(self.folder).ok();
            if now.is_some() && now == read && now != published {
                let texts = now.clone().unwrap_or_default();
                match self.publish(&texts, base.clone()) {
                    Ok(accepted) => {
                        println!("{accepted}");
                        base = None;
                        published = now.clone();
                    }
                    // The platform may be back at the next reading; a wrong folder must change.
                    Err(error @ PublishError::Platform(_)) => eprintln!("{error}"),
                    Err(error) => {
                        eprintln!("{error}");
                        published = now.clone();
                    }
                }
            }
            read = now;
            thread::sleep(WATCH_INTERVAL);
        }
    }

    fn publish(&self, texts: &Texts, base: Option<Base>) -> Result<Accepted> {
        let base = base.map_or_else(|| publish::read_base(self.folder), Ok)?;
        let options = Options { allow_empty: self.allow_empty, ..Options::new(base) };
        let accepted = publish::publish(self.store, texts, &options)?;
        publish::write_base(self.folder, accepted.generation, texts)?;
        Ok(accepted)
    }
}
