//! PostgreSQL framing, authentication and statement classification.
