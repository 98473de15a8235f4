"""Find out which requests crash the upstreams that run them."""
