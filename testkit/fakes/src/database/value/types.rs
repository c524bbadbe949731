//! Types, by their numbers in the catalogue.

/// A type, by its number in the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Type(pub u32);

impl Type {
    /// bool.
    pub const BOOL: Self = Self(16);
    /// bytea.
    pub const BYTEA: Self = Self(17);
    /// name.
    pub const NAME: Self = Self(19);
    /// int8.
    pub const INT8: Self = Self(20);
    /// int2.
    pub const INT2: Self = Self(21);
    /// int4.
    pub const INT4: Self = Self(23);
    /// text.
    pub const TEXT: Self = Self(25);
    /// oid.
    pub const OID: Self = Self(26);
    /// json.
    pub const JSON: Self = Self(114);
    /// float4.
    pub const FLOAT4: Self = Self(700);
    /// float8.
    pub const FLOAT8: Self = Self(701);
    /// varchar.
    pub const VARCHAR: Self = Self(1043);
    /// date.
    pub const DATE: Self = Self(1082);
    /// timestamp without a time zone.
    pub const TIMESTAMP: Self = Self(1114);
    /// timestamp with a time zone.
    pub const TIMESTAMPTZ: Self = Self(1184);
    /// numeric.
    pub const NUMERIC: Self = Self(1700);
    /// void.
    pub const VOID: Self = Self(2278);
    /// uuid.
    pub const UUID: Self = Self(2950);
    /// jsonb.
    pub const JSONB: Self = Self(3802);

    /// The type of an array of these.
    pub fn array(self) -> Self {
        let known = ARRAYS.iter().find(|(element, ..)| *element == self.0);
        Self(known.map_or(1009, |(_, array, _)| *array))
    }

    /// The type of an array's elements.
    pub fn element(self) -> Option<Self> {
        ARRAYS
            .iter()
            .find(|(_, array, _)| *array == self.0)
            .map(|(element, ..)| Self(*element))
    }

    /// The type that is written so in SQL.
    pub fn named(name: &str) -> Option<Self> {
        let name = name.to_ascii_lowercase();
        if let Some(element) = name.strip_suffix("[]") {
            return Self::named(element).map(Self::array);
        }
        let bare = name.split('(').next().unwrap_or_default().trim();
        let bare = match bare {
            "bigint" | "bigserial" => "int8",
            "int" | "integer" | "serial" => "int4",
            "smallint" => "int2",
            "boolean" => "bool",
            "real" => "float4",
            "double precision" | "double" | "float" => "float8",
            "character varying" | "char varying" => "varchar",
            "character" | "char" => "text",
            "decimal" => "numeric",
            "timestamp without time zone" => "timestamp",
            "timestamp with time zone" => "timestamptz",
            "regclass" | "regtype" => "text",
            other => other,
        };
        ARRAYS
            .iter()
            .find(|(.., known)| *known == bare)
            .map(|(element, ..)| Self(*element))
    }

    /// Its length on the wire as a row's description tells it.
    pub fn length(self) -> i16 {
        match self.0 {
            16 => 1,
            21 => 2,
            23 | 26 | 700 | 1082 => 4,
            20 | 701 | 1114 | 1184 => 8,
            2950 => 16,
            19 => 64,
            _ => -1,
        }
    }
}

/// Element, array and name.
pub(crate) const ARRAYS: [(u32, u32, &str); 18] = [
    (16, 1000, "bool"),
    (17, 1001, "bytea"),
    (19, 1003, "name"),
    (20, 1016, "int8"),
    (21, 1005, "int2"),
    (23, 1007, "int4"),
    (25, 1009, "text"),
    (26, 1028, "oid"),
    (114, 199, "json"),
    (700, 1021, "float4"),
    (701, 1022, "float8"),
    (1043, 1015, "varchar"),
    (1082, 1182, "date"),
    (1114, 1115, "timestamp"),
    (1184, 1185, "timestamptz"),
    (1700, 1231, "numeric"),
    (2950, 2951, "uuid"),
    (3802, 3807, "jsonb"),
];
