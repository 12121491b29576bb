use super::Value;

/// Parses a JSON text; returns `None` if it is malformed.
pub(crate) fn parse(text: &str) -> Option<Value> {
    let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
    let value = parser.value()?;
    parser.skip_space();
    (parser.at == parser.bytes.len()).then_some(value)
}

struct Parser<'t> {
    bytes: &'t [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip_space();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match *self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.text().map(Value::Text),
            _ => self.word(),
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.at += 1;
        let mut fields = Vec::new();
        if self.take(b'}') {
            return Some(Value::Object(fields));
        }
        loop {
            self.skip_space();
            let key = self.text()?;
            if !self.take(b':') {
                return None;
            }
            fields.push((key, self.value()?));
            if self.take(b'}') {
                return Some(Value::Object(fields));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.at += 1;
        let mut items = Vec::new();
        if self.take(b']') {
            return Some(Value::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b']') {
                return Some(Value::List(items));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut buf = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(buf).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => buf.push(b'\n'),
                        b't' => buf.push(b'\t'),
                        b'u' => return None,
                        other => buf.push(other),
                    }
                }
                other => buf.push(other),
            }
        }
    }

    fn word(&mut self) -> Option<Value> {
        let begin = self.at;
        let is_part = |byte: &u8| byte.is_ascii_alphanumeric() || b"+-.".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
        match text {
            "null" => Some(Value::Null),
            "true" => Some(Value::Bool(true)),
            "false" => Some(Value::Bool(false)),
            _ => text.parse::<f64>().ok().map(|_| Value::Number(text.to_owned())),
        }
    }
}
