"""The clients' side: OpenAI-style chat over HTTP/1.1, with streamed events."""
