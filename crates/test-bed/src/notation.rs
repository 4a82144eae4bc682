//! Owns how scenarios write bytes and what they expect: \r \n \xHH, a backslash before what stands for itself, and <COUNT*BYTES>.
pub fn bytes(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let mut rest = text;
    while let Some(c) = rest.chars().next() {
        let repeat = rest
            .strip_prefix('<')
            .and_then(|r| r.split_once('>'))
            .and_then(|(inner, after)| {
                let (count, what) = inner.split_once('*')?;
                Some((count.parse::<usize>().ok()?, what, after))
            });
        if let Some((count, what, after)) = repeat {
            out.extend(bytes(what).repeat(count));
            rest = after;
        } else if let Some(after) = rest.strip_prefix("\\x") {
            out.push(u8::from_str_radix(&after[..2], 16).expect("two digits"));
            rest = &after[2..];
        } else if let Some(after) = rest.strip_prefix('\\') {
            out.push(match after.as_bytes()[0] {
                b'r' => b'\r',
                b'n' => b'\n',
                other => other,
            });
            rest = &after[1..];
        } else {
            out.extend(c.to_string().as_bytes());
            rest = &rest[c.len_utf8()..];
        }
    }
    out
}

/// The part of a text before a `*` must begin the other; without one they are equal.
pub fn fits(want: &str, got: &str) -> bool {
    match want.split_once('*') {
        Some((start, "")) => got.starts_with(start),
        Some((start, rest)) => {
            let Some(after) = got.strip_prefix(start) else {
                return false;
            };
            (0..=after.len()).any(|i| after.is_char_boundary(i) && fits(rest, &after[i..]))
        }
        None => want == got,
    }
}
