//! Message type bytes of the protocol.

/// `Bind` of a caller, and `BindComplete`'s counterpart.
pub const BIND: u8 = b'B';
/// `Close` of a caller.
pub const CLOSE: u8 = b'C';
/// `Describe` of a caller.
pub const DESCRIBE: u8 = b'D';
/// `Execute` of a caller.
pub const EXECUTE: u8 = b'E';
/// `Flush` of a caller.
pub const FLUSH: u8 = b'H';
/// `Parse` of a caller.
pub const PARSE: u8 = b'P';
/// `Query` of a caller.
pub const QUERY: u8 = b'Q';
/// `Sync` of a caller.
pub const SYNC: u8 = b'S';
/// `Terminate` of a caller.
pub const TERMINATE: u8 = b'X';
/// `PasswordMessage` and SASL answers of a caller.
pub const PASSWORD: u8 = b'p';
/// `FunctionCall` of a caller.
pub const FUNCTION_CALL: u8 = b'F';
/// `CopyData`, from either side.
pub const COPY_DATA: u8 = b'd';
/// `CopyDone`, from either side.
pub const COPY_DONE: u8 = b'c';
/// `CopyFail` of a caller.
pub const COPY_FAIL: u8 = b'f';

/// `Authentication…` of a server.
pub const AUTHENTICATION: u8 = b'R';
/// `BackendKeyData` of a server.
pub const KEY_DATA: u8 = b'K';
/// `BindComplete` of a server.
pub const BIND_COMPLETE: u8 = b'2';
/// `CloseComplete` of a server.
pub const CLOSE_COMPLETE: u8 = b'3';
/// `CommandComplete` of a server.
pub const COMMAND_COMPLETE: u8 = b'C';
/// `CopyInResponse` of a server.
pub const COPY_IN: u8 = b'G';
/// `CopyOutResponse` of a server.
pub const COPY_OUT: u8 = b'H';
/// `CopyBothResponse` of a server.
pub const COPY_BOTH: u8 = b'W';
/// `DataRow` of a server.
pub const DATA_ROW: u8 = b'D';
/// `EmptyQueryResponse` of a server.
pub const EMPTY_QUERY: u8 = b'I';
/// `ErrorResponse` of a server.
pub const ERROR: u8 = b'E';
/// `NoData` of a server.
pub const NO_DATA: u8 = b'n';
/// `NoticeResponse` of a server.
pub const NOTICE: u8 = b'N';
/// `NotificationResponse` of a server.
pub const NOTIFICATION: u8 = b'A';
/// `ParameterDescription` of a server.
pub const PARAMETER_DESCRIPTION: u8 = b't';
/// `ParameterStatus` of a server.
pub const PARAMETER_STATUS: u8 = b'S';
/// `ParseComplete` of a server.
pub const PARSE_COMPLETE: u8 = b'1';
/// `PortalSuspended` of a server.
pub const PORTAL_SUSPENDED: u8 = b's';
/// `ReadyForQuery` of a server.
pub const READY: u8 = b'Z';
/// `RowDescription` of a server.
pub const ROW_DESCRIPTION: u8 = b'T';
