use std::path;

use comfreymill_types::size;
use comfreymill_types::yaml;

const DEFAULT_SIZE_BYTES: u64 = 64 << 20;
const DEFAULT_COUNT: u32 = 5;

/// Log file that is rolled by size.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogFile {
    /// Path of the file that is written.
    pub path: path::PathBuf,
    /// Size at which the file is rolled.
    pub size: size::ByteSize,
    /// Rolled files that are kept.
    pub count: u32,
}

impl LogFile {
    pub(super) fn read(section: &yaml::Section<'_>, folder: &path::Path) -> Option<Self> {
        let path: Option<path::PathBuf> = section.required("path");
        let size = section.optional("size").unwrap_or(size::ByteSize::new(DEFAULT_SIZE_BYTES));
        let count = section.optional("count").unwrap_or(DEFAULT_COUNT);
        if size.get() == 0 {
            section.problem("size", "a log file holds at least 1B");
        }
        if count == 0 {
            section.problem("count", "at least 1 rolled file is kept");
        }
        section.finish();
        Some(Self { path: folder.join(path?), size, count })
    }
}
