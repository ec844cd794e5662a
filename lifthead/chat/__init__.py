"""The API for clients: OpenAI-compatible chat completions over HTTP/1.1, with event streams."""
