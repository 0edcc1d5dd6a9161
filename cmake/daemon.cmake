# The daemon's modules and the one binary. Stand-ins are separate programs in
# tools/standins and are not part of the product.
