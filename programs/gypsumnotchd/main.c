#include <stdio.h>

#include "gypsumnotch.h"

int main(void)
{
	puts("gypsumnotchd " GN_VERSION);
	return 0;
}
