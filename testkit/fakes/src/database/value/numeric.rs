//! numeric's binary form.

/// numeric's binary form: groups of four decimal digits, the weight of the first, sign and scale.
pub(super) fn write_numeric(digits: &str) -> Vec<u8> {
    if digits.eq_ignore_ascii_case("nan") {
        return [0_u16, 0, 0xC000, 0]
            .iter()
            .flat_map(|word| word.to_be_bytes())
            .collect();
    }
    let (sign, bare) = digits
        .strip_prefix('-')
        .map_or((0_u16, digits), |bare| (0x4000, bare));
    let (whole, part) = bare.split_once('.').unwrap_or((bare, ""));
    let whole = whole.trim_start_matches('0');
    let padded = format!("{}{whole}", "0".repeat((4 - whole.len() % 4) % 4));
    let fraction = format!("{part}{}", "0".repeat((4 - part.len() % 4) % 4));
    let group = |four: &[u8]| {
        std::str::from_utf8(four)
            .ok()
            .and_then(|four| four.parse::<u16>().ok())
            .unwrap_or(0)
    };
    let mut groups: Vec<u16> = padded
        .as_bytes()
        .chunks(4)
        .chain(fraction.as_bytes().chunks(4))
        .map(group)
        .collect();
    let mut weight = (padded.len() / 4) as i16 - 1;
    while groups.first() == Some(&0) {
        groups.remove(0);
        weight -= 1;
    }
    while groups.last() == Some(&0) {
        groups.pop();
    }
    let head = [
        groups.len() as u16,
        if groups.is_empty() { 0 } else { weight as u16 },
        sign,
        part.len() as u16,
    ];
    head.into_iter()
        .chain(groups)
        .flat_map(u16::to_be_bytes)
        .collect()
}

pub(super) fn read_numeric(bytes: &[u8]) -> Option<String> {
    let words: Vec<u16> = bytes
        .chunks_exact(2)
        .map(|two| u16::from_be_bytes([two[0], two[1]]))
        .collect();
    let (&[count, weight, sign, scale], groups) = words.split_first_chunk::<4>()?;
    if sign == 0xC000 {
        return Some("NaN".to_owned());
    }
    let (weight, scale) = (i32::from(weight as i16), usize::from(scale));
    let at = |place: i32| -> u16 {
        let index = usize::try_from(weight - place)
            .ok()
            .filter(|index| *index < usize::from(count));
        index
            .and_then(|index| groups.get(index).copied())
            .unwrap_or(0)
    };
    let mut whole: String = (0..=weight.max(0))
        .rev()
        .map(|place| format!("{:04}", at(place)))
        .collect();
    whole = whole.trim_start_matches('0').to_owned();
    if whole.is_empty() {
        whole.push('0');
    }
    let places = i32::try_from(scale.div_ceil(4)).ok()?;
    let mut part: String = (1..=places)
        .map(|place| format!("{:04}", at(-place)))
        .collect();
    part.truncate(scale);
    let sign = if sign == 0x4000 { "-" } else { "" };
    Some(if scale == 0 {
        format!("{sign}{whole}")
    } else {
        format!("{sign}{whole}.{part}")
    })
}
