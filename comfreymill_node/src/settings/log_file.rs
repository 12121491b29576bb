use std::path;

use comfreymill_types::size;
use comfreymill_types::yaml;

const DEFAULT_SIZE_BYTES: u64 = 64 << 20;
const DEFAULT_COUNT: u32 = 5;

/// Log file that is rotated by size.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogFile {
    /// Path of the current log file.
    pub path: path::PathBuf,
    /// Size at which the file is rotated.
    pub size: size::ByteSize,
    /// Number of rotated files that are kept.
    pub count: u32,
}

impl LogFile {
    pub(super) fn read(section: &yaml::Section<'_>, folder: &path::Path) -> Option<Self> {
        let path: Option<path::PathBuf> = section.required("path");
        let size = section.optional("size").unwrap_or(size::ByteSize::new(DEFAULT_SIZE_BYTES));
        let count = section.optional("count").unwrap_or(DEFAULT_COUNT);
        if size.get() == 0 {
            section.problem("size", "must be at least 1B");
        }
        if count == 0 {
            section.problem("count", "must be at least 1 rotated file");
        }
        section.finish();
        Some(Self { path: folder.join(path?), size, count })
    }
}
