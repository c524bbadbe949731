//! Data types, identified by their OIDs.

/// A data type, identified by its OID in the system catalogue `pg_type`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Type(pub u32);

impl Type {
    /// `bool`.
    pub const BOOL: Self = Self(16);
    /// `bytea`.
    pub const BYTEA: Self = Self(17);
    /// `name`.
    pub const NAME: Self = Self(19);
    /// `int8`.
    pub const INT8: Self = Self(20);
    /// `int2`.
    pub const INT2: Self = Self(21);
    /// `int4`.
    pub const INT4: Self = Self(23);
    /// `text`.
    pub const TEXT: Self = Self(25);
    /// `oid`.
    pub const OID: Self = Self(26);
    /// `json`.
    pub const JSON: Self = Self(114);
    /// `float4`.
    pub const FLOAT4: Self = Self(700);
    /// `float8`.
    pub const FLOAT8: Self = Self(701);
    /// `varchar`.
    pub const VARCHAR: Self = Self(1043);
    /// `date`.
    pub const DATE: Self = Self(1082);
    /// `timestamp` (without time zone).
    pub const TIMESTAMP: Self = Self(1114);
    /// `timestamptz` (timestamp with time zone).
    pub const TIMESTAMPTZ: Self = Self(1184);
    /// `numeric`.
    pub const NUMERIC: Self = Self(1700);
    /// `void`.
    pub const VOID: Self = Self(2278);
    /// `uuid`.
    pub const UUID: Self = Self(2950);
    /// `jsonb`.
    pub const JSONB: Self = Self(3802);

    /// `text[]`, which also replaces the array type of types that are not in [`TYPES`].
    const TEXT_ARRAY: Self = Self(1009);

    /// The type of arrays of this type.
    pub fn array(self) -> Self {
        self.entry()
            .map_or(Self::TEXT_ARRAY, |entry| entry.array_type)
    }

    /// The element type of an array type; `None` if this is not an array type.
    pub fn element(self) -> Option<Self> {
        let entry = TYPES.iter().find(|entry| entry.array_type == self);
        entry.map(|entry| entry.data_type)
    }

    /// Looks up a type by its name or any alias in SQL, with or without a type modifier; `None` for an unknown name.
    pub fn named(name: &str) -> Option<Self> {
        let name = name.to_ascii_lowercase();
        if let Some(element) = name.strip_suffix("[]") {
            return Self::named(element).map(Self::array);
        }
        let without_modifier = name.split('(').next().unwrap_or_default().trim();
        let pg_type_name = match without_modifier {
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
        let entry = TYPES.iter().find(|entry| entry.name == pg_type_name);
        entry.map(|entry| entry.data_type)
    }

    /// The name of the type in error messages; `array` for a type that is not in [`TYPES`].
    pub(super) fn display_name(self) -> &'static str {
        match self.entry().map_or("array", |entry| entry.name) {
            "int8" => "bigint",
            "int4" => "integer",
            "int2" => "smallint",
            "bool" => "boolean",
            "float8" => "double precision",
            other => other,
        }
    }

    /// The size of values of the type in bytes, as in `RowDescription`; -1 for variable-length types.
    pub fn length(self) -> i16 {
        match self {
            Self::BOOL => 1,
            Self::INT2 => 2,
            Self::INT4 | Self::OID | Self::FLOAT4 | Self::DATE => 4,
            Self::INT8 | Self::FLOAT8 | Self::TIMESTAMP | Self::TIMESTAMPTZ => 8,
            Self::UUID => 16,
            Self::NAME => 64,
            _ => -1,
        }
    }

    fn entry(self) -> Option<&'static TypeEntry> {
        TYPES.iter().find(|entry| entry.data_type == self)
    }
}

/// A type, the type of arrays of that type, and its name in `pg_type`.
#[derive(Debug)]
pub(crate) struct TypeEntry {
    pub(crate) data_type: Type,
    pub(crate) array_type: Type,
    pub(crate) name: &'static str,
}

const fn entry(data_type: Type, array_type_oid: u32, name: &'static str) -> TypeEntry {
    TypeEntry {
        data_type,
        array_type: Type(array_type_oid),
        name,
    }
}

/// All types that have an array type.
pub(crate) static TYPES: [TypeEntry; 18] = [
    entry(Type::BOOL, 1000, "bool"),
    entry(Type::BYTEA, 1001, "bytea"),
    entry(Type::NAME, 1003, "name"),
    entry(Type::INT8, 1016, "int8"),
    entry(Type::INT2, 1005, "int2"),
    entry(Type::INT4, 1007, "int4"),
    entry(Type::TEXT, 1009, "text"),
    entry(Type::OID, 1028, "oid"),
    entry(Type::JSON, 199, "json"),
    entry(Type::FLOAT4, 1021, "float4"),
    entry(Type::FLOAT8, 1022, "float8"),
    entry(Type::VARCHAR, 1015, "varchar"),
    entry(Type::DATE, 1182, "date"),
    entry(Type::TIMESTAMP, 1115, "timestamp"),
    entry(Type::TIMESTAMPTZ, 1185, "timestamptz"),
    entry(Type::NUMERIC, 1231, "numeric"),
    entry(Type::UUID, 2951, "uuid"),
    entry(Type::JSONB, 3807, "jsonb"),
];
