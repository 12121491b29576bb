settings_word! {
    /// Least severe level that is logged.
    pub enum LogLevel {
        /// Nothing.
        Off = "off",
        /// Faults that need an operator.
        Error = "error",
        /// Faults that mend themselves.
        Warn = "warn",
        /// Changes of state.
        #[default]
        Info = "info",
        /// Decisions.
        Debug = "debug",
        /// Messages.
        Trace = "trace",
    }
}

impl LogLevel {
    /// Filter of the log library.
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
