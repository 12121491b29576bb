const BASE: u64 = 10;
const MAX_FRACTION_DIGITS: u32 = 12;

/// Parses a decimal number without sign or exponent and multiplies it by `scale`.
///
/// Returns `None` if `text` is malformed or has more than 12 fraction digits, or if the product is
/// not a whole number or overflows `u64`.
pub(crate) fn parse_scaled(text: &str, scale: u64) -> Option<u64> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let digits =
        u32::try_from(fraction.len()).ok().filter(|count| *count <= MAX_FRACTION_DIGITS)?;
    let divisor = u128::from(BASE.pow(digits));
    let fraction = u128::from(parse_digits(fraction)?) * u128::from(scale);
    if !fraction.is_multiple_of(divisor) {
        return None;
    }
    let whole = u128::from(parse_digits(whole)?) * u128::from(scale);
    u64::try_from(whole + fraction / divisor).ok()
}

fn parse_digits(text: &str) -> Option<u64> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if is_number { text.parse().ok() } else { None }
}
