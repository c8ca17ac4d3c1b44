//! From a folder of files to an accepted configuration on the platform.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use mastichaven_core::Code;
use mastichaven_core::Config;
use mastichaven_core::ids::Generation;
use mastichaven_core::platform::Expect;
use mastichaven_core::platform::ObjectStore;

use crate::documents::CONFIG_KEY;
use crate::documents::encode_config;
use crate::settings;
use crate::settings::SettingsError;

/// Result of publishing.
pub type Result<T> = std::result::Result<T, PublishError>;

/// Why a folder is not accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishError {
    /// A file cannot be used.
    File(SettingsError),
    /// The platform refused.
    Platform(Code),
}

impl std::fmt::Display for PublishError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PublishError::File(error) => error.fmt(f),
            PublishError::Platform(code) => code.fmt(f),
        }
    }
}

/// Reads and merges the `.toml` files of `folder` in name order.
pub fn read_folder(folder: &Path) -> Result<Config> {
    let unreadable = |e: std::io::Error| {
        PublishError::File(SettingsError {
            code: Code::Unreadable,
            file: folder.to_owned(),
            line: 0,
            detail: e.to_string(),
        })
    };
    let mut files: Vec<PathBuf> = fs::read_dir(folder)
        .map_err(unreadable)?
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| path.extension().is_some_and(|extension| extension == "toml"))
        .collect();
    files.sort();
    let mut merged = Config::default();
    for file in files {
        let part: Config = settings::load(&file).map_err(PublishError::File)?;
        merge(&mut merged, part);
    }
    Ok(merged)
}

fn merge(into: &mut Config, part: Config) {
    into.zone.extend(part.zone);
    into.customer.extend(part.customer);
    into.model.extend(part.model);
    into.version.extend(part.version);
    into.placement.extend(part.placement);
    into.service.extend(part.service);
    into.route.extend(part.route);
    if part.limits != Default::default() {
        into.limits = part.limits;
    }
}

/// Writes `config` as the accepted configuration and gives its generation.
pub fn publish(store: &dyn ObjectStore, config: &Config) -> Result<Generation> {
    let platform = |e: mastichaven_core::platform::PlatformError| PublishError::Platform(e.code());
    let expect = match store.get(CONFIG_KEY).map_err(platform)? {
        Some(object) => Expect::At(object.revision),
        None => Expect::Absent,
    };
    let revision = store.put(CONFIG_KEY, encode_config(config), expect).map_err(platform)?;
    Ok(Generation(revision.0))
}
