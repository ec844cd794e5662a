"""What a router process under test loads first: see sitecustomize.py."""
