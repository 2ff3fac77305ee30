#include <stdio.h>

#include "gypsumnotch.h"

int main(void)
{
	puts("gypsumnotchctl " GN_VERSION);
	return 0;
}
