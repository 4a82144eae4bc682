//! The notations of scenario files: bytes written as text, and patterns of expected text.

/// Reads bytes written as text: `\r`, `\n`, `\xHH`, a backslash before a character that stands for itself, and
/// `<COUNT*BYTES>` for a repetition.
///
/// # Panics
/// If an escape is incomplete.
pub fn unescape(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut rest = text;
    while let Some(character) = rest.chars().next() {
        if let Some((repeated, after)) = strip_repetition(rest) {
            bytes.extend(repeated);
            rest = after;
        } else if let Some(after) = rest.strip_prefix("\\x") {
            bytes.push(u8::from_str_radix(&after[..2], 16).expect("two hexadecimal digits"));
            rest = &after[2..];
        } else if let Some(after) = rest.strip_prefix('\\') {
            bytes.push(match after.as_bytes()[0] {
                b'r' => b'\r',
                b'n' => b'\n',
                other => other,
            });
            rest = &after[1..];
        } else {
            bytes.extend(character.to_string().as_bytes());
            rest = &rest[character.len_utf8()..];
        }
    }
    bytes
}

/// The bytes of a leading `<COUNT*BYTES>`, and the text behind it.
fn strip_repetition(text: &str) -> Option<(Vec<u8>, &str)> {
    let (repetition, after) = text.strip_prefix('<')?.split_once('>')?;
    let (count, repeated) = repetition.split_once('*')?;
    let count = count.parse().ok()?;
    Some((unescape(repeated).repeat(count), after))
}

/// Whether a text matches a pattern in which `*` stands for any text.
pub fn matches_pattern(pattern: &str, text: &str) -> bool {
    match pattern.split_once('*') {
        Some((start, "")) => text.starts_with(start),
        Some((start, rest)) => {
            let Some(after) = text.strip_prefix(start) else {
                return false;
            };
            (0..=after.len())
                .any(|i| after.is_char_boundary(i) && matches_pattern(rest, &after[i..]))
        }
        None => pattern == text,
    }
}
