settings_word! {
    /// Format of a log line.
    pub enum LogFormat {
        /// Plain text: time, level, target and message.
        #[default]
        Text = "text",
        /// One JSON object per line.
        Json = "json",
        /// One JSON object per line with the fields of the event, written to stdout without blocking.
        Events = "events",
    }
}
