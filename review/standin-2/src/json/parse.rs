use super::Value;

/// Parses a JSON text; anything malformed is null.
pub(crate) fn parse(text: &[u8]) -> Value {
    let mut parser = Parser { text, at: 0 };
    parser.value().unwrap_or_default()
}

struct Parser<'t> {
    text: &'t [u8],
    at: usize,
}

impl Parser<'_> {
    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.at += 1;
        let mut fields = Vec::new();
        while self.peek()? != b'}' {
            if !fields.is_empty() {
                self.expect(b',')?;
                self.peek()?;
            }
            let name = self.string()?;
            self.peek()?;
            self.expect(b':')?;
            fields.push((name, self.value()?));
        }
        self.at += 1;
        Some(Value::Object(fields))
    }

    fn list(&mut self) -> Option<Value> {
        self.at += 1;
        let mut values = Vec::new();
        while self.peek()? != b']' {
            if !values.is_empty() {
                self.expect(b',')?;
            }
            values.push(self.value()?);
        }
        self.at += 1;
        Some(Value::List(values))
    }

    fn string(&mut self) -> Option<String> {
        self.expect(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    bytes.push(if escaped == b'n' { b'\n' } else { escaped });
                }
                _ => bytes.push(byte),
            }
        }
    }

    fn number(&mut self) -> Option<Value> {
        let is_part = |byte: &&u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        let length = self.text[self.at..].iter().take_while(is_part).count();
        let digits = std::str::from_utf8(&self.text[self.at..self.at + length]).ok()?;
        self.at += length;
        digits.parse().ok().map(Value::Number)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let is_there = self.text[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_there.then_some(value)
    }

    /// Skips white space and returns the byte after it.
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn expect(&mut self, byte: u8) -> Option<()> {
        let is_there = self.text.get(self.at) == Some(&byte);
        self.at += 1;
        is_there.then_some(())
    }
}
