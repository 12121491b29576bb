settings_word! {
    /// Least severe level that is logged.
    pub enum LogLevel {
        /// Logs nothing.
        Off = "off",
        /// Failures that need an operator.
        Error = "error",
        /// Failures from which the process recovers by itself.
        Warn = "warn",
        /// Changes of state.
        #[default]
        Info = "info",
        /// Decisions of the process.
        Debug = "debug",
        /// Messages between processes.
        Trace = "trace",
    }
}

impl LogLevel {
    /// Returns the matching filter of the `log` crate.
    pub fn to_filter(self) -> log::LevelFilter {
        match self {
            Self::Off => log::LevelFilter::Off,
            Self::Error => log::LevelFilter::Error,
            Self::Warn => log::LevelFilter::Warn,
            Self::Info => log::LevelFilter::Info,
            Self::Debug => log::LevelFilter::Debug,
            Self::Trace => log::LevelFilter::Trace,
        }
    }
}
