"""Two processes of one scheduler at a replacement: the old one hands over before the new one says yes."""
