/// Values of one process, for the placeholders of a template of settings.
#[derive(Clone, Debug)]
pub(super) struct Values(Vec<(&'static str, String)>);

impl Values {
    pub(super) fn new() -> Self {
        Self(Vec::new())
    }

    /// Sets the value of a placeholder.
    #[must_use]
    pub(super) fn set<V>(mut self, name: &'static str, value: V) -> Self
    where
        V: ToString,
    {
        self.0.push((name, value.to_string()));
        self
    }

    /// Fills in a template as the platform does; sections are kept if they name a value.
    pub(super) fn render(&self, template: &str) -> String {
        let mut text = template.replace("{{#zones}}{{@}}{{,}}{{/zones}}", "{{zone_names}}");
        for (name, value) in &self.0 {
            for tag in [format!("{{{{#{name}}}}}\n"), format!("{{{{/{name}}}}}\n")] {
                text = text.replace(&tag, "");
            }
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        text
    }
}
