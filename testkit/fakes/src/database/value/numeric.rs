//! The binary format of `numeric`: the number of groups, the weight of the first group, the sign and the scale, then
//! the groups. A group is one base-10000 digit, which holds four decimal digits.

/// Decimal digits in a group.
const GROUP_DIGITS: usize = 4;

/// The sign field of a negative number.
const SIGN_NEGATIVE: u16 = 0x4000;

/// The sign field of NaN.
const SIGN_NAN: u16 = 0xC000;

/// Encodes a number given in decimal digits.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a number has fewer than 32,768 groups, and a negative weight is encoded in two's complement"
)]
pub(super) fn write_numeric(digits: &str) -> Vec<u8> {
    if digits.eq_ignore_ascii_case("nan") {
        return to_bytes(&[0, 0, SIGN_NAN, 0]);
    }
    let (sign, absolute) = match digits.strip_prefix('-') {
        Some(absolute) => (SIGN_NEGATIVE, absolute),
        None => (0, digits),
    };
    let (integer, fraction) = absolute.split_once('.').unwrap_or((absolute, ""));
    let integer = pad_front(integer.trim_start_matches('0'));
    let padded_fraction = pad_back(fraction);
    let mut weight = (integer.len() / GROUP_DIGITS) as i16 - 1;
    let mut groups: Vec<u16> = [integer, padded_fraction]
        .iter()
        .flat_map(|part| part.as_bytes().chunks(GROUP_DIGITS))
        .map(parse_group)
        .collect();
    while groups.first() == Some(&0) {
        groups.remove(0);
        weight -= 1;
    }
    while groups.last() == Some(&0) {
        groups.pop();
    }
    let weight = if groups.is_empty() { 0 } else { weight as u16 };
    let head = [groups.len() as u16, weight, sign, fraction.len() as u16];
    [to_bytes(&head), to_bytes(&groups)].concat()
}

fn to_bytes(fields: &[u16]) -> Vec<u8> {
    fields
        .iter()
        .flat_map(|field| field.to_be_bytes())
        .collect()
}

/// The number of zeros that pad the digits to whole groups.
fn padding_length(digits: &str) -> usize {
    (GROUP_DIGITS - digits.len() % GROUP_DIGITS) % GROUP_DIGITS
}

fn pad_front(digits: &str) -> String {
    format!("{}{digits}", "0".repeat(padding_length(digits)))
}

fn pad_back(digits: &str) -> String {
    format!("{digits}{}", "0".repeat(padding_length(digits)))
}

fn parse_group(digits: &[u8]) -> u16 {
    let text = std::str::from_utf8(digits).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// The digit groups of a number by weight; the group before the decimal point has weight 0.
struct DigitGroups<'a> {
    groups: &'a [u16],
    first_weight: i32,
}

impl DigitGroups<'_> {
    /// The four decimal digits of a group; zeros for a group that is not stored.
    fn digits(&self, weight: i32) -> String {
        let index = usize::try_from(self.first_weight - weight).ok();
        let group = index.and_then(|index| self.groups.get(index));
        format!("{:04}", group.copied().unwrap_or(0))
    }
}

/// Decodes a number to decimal digits; `None` if the bytes are too short.
pub(super) fn read_numeric(bytes: &[u8]) -> Option<String> {
    let fields: Vec<u16> = bytes
        .chunks_exact(2)
        .map(|pair| u16::from_be_bytes([pair[0], pair[1]]))
        .collect();
    let (&[count, first_weight, sign, scale], groups) = fields.split_first_chunk::<4>()?;
    if sign == SIGN_NAN {
        return Some("NaN".to_owned());
    }
    let first_weight = i32::from(first_weight.cast_signed());
    let scale = usize::from(scale);
    let groups = DigitGroups {
        groups: &groups[..groups.len().min(usize::from(count))],
        first_weight,
    };
    let integer: String = (0..=first_weight.max(0))
        .rev()
        .map(|weight| groups.digits(weight))
        .collect();
    let integer = match integer.trim_start_matches('0') {
        "" => "0",
        trimmed => trimmed,
    };
    let fraction_groups = i32::try_from(scale.div_ceil(GROUP_DIGITS)).ok()?;
    let mut fraction: String = (1..=fraction_groups)
        .map(|place| groups.digits(-place))
        .collect();
    fraction.truncate(scale);
    let sign = if sign == SIGN_NEGATIVE { "-" } else { "" };
    Some(if scale == 0 {
        format!("{sign}{integer}")
    } else {
        format!("{sign}{integer}.{fraction}")
    })
}
