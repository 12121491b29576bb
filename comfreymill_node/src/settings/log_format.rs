settings_word! {
    /// Shape of a log line.
    pub enum LogFormat {
        /// Time, level, part and message.
        #[default]
        Text = "text",
        /// One JSON object.
        Json = "json",
        /// One JSON object with the fields of the event, on stdout, never blocking.
        Events = "events",
    }
}
