const MAX_KEY_BYTES: usize = 255;
const RULE: &str = "write 1 to 255 visible ASCII characters";

fn is_key(text: &str) -> bool {
    let length_fits = (1..=MAX_KEY_BYTES).contains(&text.len());
    length_fits && text.bytes().all(|b| b.is_ascii_graphic())
}

text_id!(
    /// Key that a caller chooses for a request and repeats when resending it.
    IdempotencyKey,
    "idempotency key",
    is_key,
    RULE
);
text_id!(
    /// Key that an operator chooses for a change and repeats when resending it.
    OperationId,
    "operation id",
    is_key,
    RULE
);
