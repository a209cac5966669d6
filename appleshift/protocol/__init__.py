"""Every message on the wire, as typed structs. The wire names live only here."""
