"""Choose the upstream of a request by its object and by load."""
