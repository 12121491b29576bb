use super::HeadError;

const MAX_LEADING_EMPTY_LINES: usize = 2;

/// Incremental scanner that finds the end of a head and validates its raw bytes, each byte once.
#[derive(Debug)]
pub(crate) struct Scan {
    max_bytes: usize,
    max_headers: usize,
    position: usize,
    line_start: usize,
    lines: usize,
    previous: u8,
    skipped_lines: usize,
}

impl Scan {
    pub(crate) fn new(max_bytes: usize, max_headers: usize) -> Self {
        Self {
            max_bytes,
            max_headers,
            position: 0,
            line_start: 0,
            lines: 0,
            previous: 0,
            skipped_lines: 0,
        }
    }

    /// Returns whether no byte of the head has been scanned yet.
    pub(crate) fn is_start(&self) -> bool {
        self.position == 0
    }

    /// Removes empty lines before the start line.
    ///
    /// # Errors
    ///
    /// [`HeadError::Malformed`] after more than [`MAX_LEADING_EMPTY_LINES`].
    pub(crate) fn skip_empty_lines(&mut self, buf: &mut bytes::BytesMut) -> Result<(), HeadError> {
        while self.is_start() && buf.starts_with(b"\r\n") {
            self.skipped_lines += 1;
            if self.skipped_lines > MAX_LEADING_EMPTY_LINES {
                return Err(HeadError::Malformed);
            }
            let _ = buf.split_to(2);
        }
        Ok(())
    }

    /// Returns the length of the head including its empty line, or `None` when more bytes are
    /// needed.
    ///
    /// # Errors
    ///
    /// A [`HeadError`] as soon as the bytes scanned cannot become a valid head.
    pub(crate) fn advance(&mut self, buf: &[u8]) -> Result<Option<usize>, HeadError> {
        for &byte in &buf[self.position..] {
            if self.position >= self.max_bytes {
                return Err(self.too_large());
            }
            self.check_byte(byte)?;
            self.position += 1;
            self.previous = byte;
            if byte == b'\n' && self.end_line()? {
                return Ok(Some(self.position));
            }
        }
        Ok(None)
    }

    fn check_byte(&self, byte: u8) -> Result<(), HeadError> {
        if byte == 0 {
            return Err(HeadError::Nul);
        }
        if (byte == b'\n') != (self.previous == b'\r') {
            return Err(HeadError::LineEnding);
        }
        Ok(())
    }

    /// Counts a line; returns true for the empty line that ends the head.
    fn end_line(&mut self) -> Result<bool, HeadError> {
        let is_empty = self.position - self.line_start == 2;
        self.line_start = self.position;
        if is_empty {
            return Ok(true);
        }
        self.lines += 1;
        if self.lines > self.max_headers + 1 {
            return Err(HeadError::TooManyHeaders);
        }
        Ok(false)
    }

    fn too_large(&self) -> HeadError {
        if self.lines == 0 { HeadError::StartLineTooLong } else { HeadError::TooLarge }
    }
}
