/*!
Settings that are read from files and replaced while the process runs: keys, tokens, certificates.

Such a setting comes from a flag or its environment variable, or from files that the operator mounts read-only. The files
are checked once a second and read again when one of them has changed. Files that cannot be read or are wrong change
nothing, so that a mistake locks nobody out. A process without such files needs no disk.

```
use fescueleadd::{auth::PeerKeys, reload::Reloadable};

let keys = Reloadable::new(PeerKeys::parse("k1:000102030405060708090a0b0c0d0e0f")?);
assert_eq!(format!("{:?}", keys.get()), "[\"k1\"]");
# Ok::<(), fescueleadd::auth::KeyError>(())
```
*/

use std::{
    array, fmt, io,
    os::unix::fs::MetadataExt,
    path::{Path, PathBuf},
    sync::Arc,
    time::{Duration, SystemTime},
};

use parking_lot::RwLock;
use tokio_util::sync::CancellationToken;

/// The time between two checks of the files.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Larger files are taken for a mistake.
const MAX_FILE_BYTES: u64 = 64 * 1024;

/// A value that is read again when its files change. Clones share it.
pub struct Reloadable<T> {
    current: Arc<RwLock<Arc<T>>>,
    source: Option<Arc<Source<T>>>,
}

type Parse<T> = Box<dyn Fn(&[String]) -> Result<T, FileError> + Send + Sync>;

/// The states and texts of all files of a source.
type ReadFiles = (Vec<Stamp>, Vec<String>);

/// Files that together give one value.
struct Source<T> {
    files: Vec<(&'static str, PathBuf)>,
    parse: Parse<T>,
    /// The state of the files that were read at the start.
    stamps: Option<Vec<Stamp>>,
}

/// What tells one state of a file from another. A file that is moved into place may have the time and length of the one
/// before, but not its inode.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stamp {
    modified: SystemTime,
    bytes: u64,
    inode: u64,
}

/// The result of the last checks of the files.
#[derive(Debug, Default)]
struct Watch {
    stamps: Option<Vec<Stamp>>,
    failed: bool,
}

impl<T> Source<T> {
    fn watch(&self) -> Watch {
        Watch { stamps: self.stamps.clone(), failed: self.stamps.is_none() }
    }

    /// The flags that name the files.
    fn flags(&self) -> String {
        self.files.iter().map(|(flag, _)| format!("--{flag}")).collect::<Vec<_>>().join(" and ")
    }

    /// Reads all files if one of them is not as in `known`.
    fn read_if_changed(&self, known: Option<&[Stamp]>) -> Result<Option<ReadFiles>, FileError> {
        // Taken before any file is read, so that a change meanwhile is found at the next check.
        let stamps = self.files.iter().map(|(flag, path)| stamp(flag, path)).collect::<Result<Vec<_>, FileError>>()?;
        if known == Some(&stamps) {
            return Ok(None);
        }
        let texts = self.files.iter().map(|(flag, path)| {
            std::fs::read_to_string(path).map_err(|error| FileError { flag, kind: FileErrorKind::Io(error) })
        });
        let texts = texts.collect::<Result<Vec<_>, _>>()?;
        Ok(Some((stamps, texts)))
    }
}

impl<T> Reloadable<T> {
    /// A value that stays as it is.
    pub fn new(value: T) -> Self {
        Self { current: Arc::new(RwLock::new(Arc::new(value))), source: None }
    }

    /// A value that `parse` makes of the trimmed texts of files, each given with the flag that names it in messages.
    /// While the files cannot be read or are wrong, `fallback` is in force.
    ///
    /// # Errors
    ///
    /// Fails with the flag and the remedy if there is no fallback either.
    pub fn from_files<const N: usize>(
        files: [(&'static str, &Path); N],
        parse: impl Fn([&str; N]) -> Result<T, FileError> + Send + Sync + 'static,
        fallback: Option<T>,
    ) -> Result<Self, FileError> {
        let mut source = Source {
            files: files.into_iter().map(|(flag, path)| (flag, path.to_owned())).collect(),
            parse: Box::new(move |texts| parse(array::from_fn(|index| texts[index].trim()))),
            stamps: None,
        };
        let read = source.read_if_changed(None).and_then(|changed| {
            let (stamps, texts) = changed.unwrap_or_default();
            Ok((stamps, (source.parse)(&texts)?))
        });
        let value = match (read, fallback) {
            (Ok((stamps, value)), _) => {
                source.stamps = Some(stamps);
                value
            }
            (Err(error), Some(fallback)) => {
                log::warn!("fescueleadd: --{}: {error}; the value given without a file is in force.", error.flag);
                fallback
            }
            (Err(error), None) => return Err(error),
        };
        Ok(Self { source: Some(Arc::new(source)), ..Self::new(value) })
    }

    /// The value in force.
    pub fn get(&self) -> Arc<T> {
        Arc::clone(&self.current.read())
    }

    /// Reads the files if one has changed. Warns once for each state of them that cannot be used.
    fn check(&self, watch: &mut Watch) {
        let Some(source) = &self.source else { return };
        let outcome = match source.read_if_changed(watch.stamps.as_deref()) {
            Ok(None) => return,
            Ok(Some((stamps, texts))) => {
                *watch = Watch { stamps: Some(stamps), failed: false };
                (source.parse)(&texts)
            }
            Err(error) => {
                watch.stamps = None;
                Err(error)
            }
        };
        match outcome {
            Ok(value) => {
                *self.current.write() = Arc::new(value);
                watch.failed = false;
                log::info!("fescueleadd: reloaded {}.", source.flags());
            }
            Err(error) if !watch.failed => {
                watch.failed = true;
                log::warn!("fescueleadd: --{}: {error}; what was in force before stays in force.", error.flag);
            }
            Err(_) => {}
        }
    }
}

impl<T: Send + Sync + 'static> Reloadable<T> {
    /// Reads the files again whenever one changes, until `stop`. Returns at once without files.
    pub async fn keep_current(self, stop: CancellationToken) {
        let Some(source) = &self.source else { return };
        let mut watch = source.watch();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
            let value = self.clone();
            // A mount that hangs must not hold up requests.
            let checked = tokio::task::spawn_blocking(move || {
                value.check(&mut watch);
                watch
            });
            watch = match checked.await {
                Ok(watch) => watch,
                Err(_) => return,
            };
        }
    }
}

impl<T> Clone for Reloadable<T> {
    fn clone(&self) -> Self {
        Self { current: Arc::clone(&self.current), source: self.source.clone() }
    }
}

impl<T> fmt::Debug for Reloadable<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The value may be secret.
        let flags = self.source.as_ref().map(|source| source.flags());
        f.debug_struct("Reloadable").field("flags", &flags).finish_non_exhaustive()
    }
}

fn stamp(flag: &'static str, path: &Path) -> Result<Stamp, FileError> {
    let error = |kind| FileError { flag, kind };
    let metadata = std::fs::metadata(path).map_err(|e| error(FileErrorKind::Io(e)))?;
    if !metadata.is_file() {
        return Err(error(FileErrorKind::NotRegular));
    }
    if metadata.len() > MAX_FILE_BYTES {
        return Err(error(FileErrorKind::TooLong));
    }
    let modified = metadata.modified().map_err(|e| error(FileErrorKind::Io(e)))?;
    Ok(Stamp { modified, bytes: metadata.len(), inode: metadata.ino() })
}

/// Says what is wrong with a file, without showing what it holds.
#[derive(Debug)]
pub struct FileError {
    flag: &'static str,
    kind: FileErrorKind,
}

#[derive(Debug)]
enum FileErrorKind {
    Io(io::Error),
    NotRegular,
    TooLong,
    Wrong(String),
}

impl FileError {
    /// A file that holds something else than it should; `remedy` says how to correct it.
    pub fn wrong(flag: &'static str, remedy: &dyn fmt::Display) -> Self {
        Self { flag, kind: FileErrorKind::Wrong(remedy.to_string()) }
    }

    /// The flag that names the file.
    pub fn flag(&self) -> &'static str {
        self.flag
    }
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            FileErrorKind::Io(error) if error.kind() == io::ErrorKind::InvalidData => {
                f.write_str("the file is not text; check its path and format")
            }
            FileErrorKind::Io(error) => {
                write!(f, "the file cannot be read ({error}); mount it where this process may read it")
            }
            FileErrorKind::NotRegular => f.write_str("this is no regular file; name the file itself"),
            FileErrorKind::TooLong => write!(f, "the file is longer than {MAX_FILE_BYTES} bytes; check its path"),
            FileErrorKind::Wrong(remedy) => write!(f, "the file is wrong; {remedy}"),
        }
    }
}

impl std::error::Error for FileError {}

#[cfg(test)]
mod tests;
